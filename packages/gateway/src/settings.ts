/** The settings of a gateway process, independent of the platform. */
import { z } from "zod";

const Listener = z.object({ host: z.string(), port: z.number().int().min(1).max(65_535) });

export const GatewaySettings = z.object({
    instance: z.string().min(1),
    availabilityZone: z.string().min(1),
    /** The region of each availability zone; absent if the platform does not state it. */
    regions: z.record(z.string(), z.string()).optional(),
    /** Processor capacity of this process, as a number of cores; duties for others go to the largest processes. */
    cores: z.number().positive(),
    /** What the process may use before it is ended; absent if the platform does not state it. */
    resources: z.object({
        memoryBytes: z.number().int().positive(),
        /** File descriptors, some of which are reserved for files. */
        descriptors: z.number().int().positive(),
    }).optional(),
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
        /** Time from the acknowledgement of a zone's evacuation until no request may reach it; absent without evacuations. */
        evacuateMs: z.number().positive().optional(),
        /**
         * How far all processes together may exceed a cold upstream's rate: by a factor, and by requests in any one second.
         * Absent if cold upstreams have no limit.
         */
        cold: z.object({ overrun: z.number().positive(), tolerance: z.number().min(0) }).optional(),
    }),
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
