/** What every part of a gateway is given. */
import { type Log } from "@rattanquay/telemetry";
import { type Timer } from "@rattanquay/timer";
import { type GatewayMetrics } from "./metrics";
import { type Ports } from "./ports";
import { type GatewaySettings } from "./settings";

export type Surroundings = {
    readonly settings: GatewaySettings;
    readonly ports: Ports;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    /** Numbers in [0, 1). */
    readonly random: () => number;
    /** Called when an invariant is broken; expected to end the process. */
    readonly onBroken: (task: string, error: unknown) => void;
};
