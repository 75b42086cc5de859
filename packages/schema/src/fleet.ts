/** The platform's list of instances, which lags behind their actual state. */
import { z } from "zod";

export const Instance = z.object({
    instance: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    fabricDomain: z.string(),
    state: z.enum(["live", "leaving"]),
});
export type Instance = z.infer<typeof Instance>;

/** An entry instance as the platform lists it. */
export const EntryPlace = z.object({
    process: z.string(),
    availabilityZone: z.string(),
    /** `host:port` of the peer listener. */
    peerAddress: z.string(),
    /** `host:port` of the caller listener. */
    callerAddress: z.string(),
});
export type EntryPlace = z.infer<typeof EntryPlace>;

export const InstanceList = z.object({
    instances: z.array(Instance),
    entries: z.array(EntryPlace).default([]),
});
export type InstanceList = z.infer<typeof InstanceList>;
