/** Dependencies that all components of a gateway share. */
import { type Log } from "@rattanquay/telemetry";
import { type Timer } from "@rattanquay/timer";
import { type GatewayMetrics } from "./metrics";
import { type Ports } from "./ports";
import { type GatewaySettings } from "./settings";

export type GatewayContext = {
    readonly settings: GatewaySettings;
    readonly ports: Ports;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** Called when an invariant is violated; expected to end the process. */
    readonly onFatalError: (task: string, error: unknown) => void;
};
