/** The settings of a gateway process, in the product's terms. */
import { z } from "zod";

const Listener = z.object({ host: z.string(), port: z.number().int().min(1).max(65_535) });

export const GatewaySettings = z.object({
    instance: z.string().min(1),
    availabilityZone: z.string().min(1),
    /** Whether the whole system starts for the first time. */
    isFirstStart: z.boolean(),
    listeners: z.object({
        callers: Listener,
        readiness: Listener,
        /** Missing where peers are not to be met. */
        peers: Listener.optional(),
        metrics: Listener,
    }),
    /** Addresses of some peers; they may be stale. */
    seeds: z.array(z.string()),
    bounds: z.object({
        /** Time after a disturbance until this process must keep its bounds again. */
        contactMs: z.number().positive(),
        /** From SIGTERM to SIGKILL. */
        graceMs: z.number().positive(),
        /** How long work stands still that depends on a dead engine instance. */
        stallMs: z.number().positive(),
        repeats: z.object({ ratio: z.number().min(0), extra: z.number().min(0), windowMs: z.number().positive() }),
        /** The window in which loads from the weight store are counted. */
        loadWindowMs: z.number().positive(),
    }),
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
