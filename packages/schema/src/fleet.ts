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
export const EntryListing = z.object({
    process: z.string(),
    availabilityZone: z.string(),
    /** `host:port` of the peer listener. */
    peerAddress: z.string(),
    /** `host:port` of the caller listener. */
    callerAddress: z.string(),
});
export type EntryListing = z.infer<typeof EntryListing>;

export const InstanceList = z.object({
    instances: z.array(Instance),
    entries: z.array(EntryListing).default([]),
});
export type InstanceList = z.infer<typeof InstanceList>;
