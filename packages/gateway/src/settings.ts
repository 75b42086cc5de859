/** The settings of a gateway process, independent of the platform. */
import { z } from "zod";

const Listener = z.object({ host: z.string(), port: z.number().int().min(1).max(65_535) });

export const GatewaySettings = z.object({
    instance: z.string().min(1),
    availabilityZone: z.string().min(1),
    /** Processor capacity of this process, as a number of cores; duties for others go to the largest processes. */
    cores: z.number().positive(),
    /** Whether the whole system is starting for the first time. */
    isFirstStart: z.boolean(),
    listeners: z.object({
        callers: Listener,
        readiness: Listener,
        /** Omitted if the process should not accept peer connections. */
        peers: Listener.optional(),
        metrics: Listener,
    }),
    /** Addresses of some peers; they may be stale. */
    seeds: z.array(z.string()),
    bounds: z.object({
        /** Time after a disruption within which the process must meet its bounds again; limits the duration of long polls. */
        contactMs: z.number().positive(),
        /** From SIGTERM to SIGKILL. */
        graceMs: z.number().positive(),
        /** How long work that depends on a failed engine instance stalls. */
        stallMs: z.number().positive(),
        repeats: z.object({ ratio: z.number().min(0), extra: z.number().min(0), windowMs: z.number().positive() }),
        /** Time window of the rate limit on loads from the weight store. */
        loadWindowMs: z.number().positive(),
    }),
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
