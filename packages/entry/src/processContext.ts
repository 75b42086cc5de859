/** Settings and services that all tasks of an entry instance share. */
import { type Settings } from "@rattanquay/schema";
import { type InstanceListClient, type Table } from "@rattanquay/table";
import { type Log, type Metrics, type Tracing } from "@rattanquay/telemetry";
import { type Timer } from "@rattanquay/timer";

export type ProcessContext = {
    readonly settings: Settings;
    readonly table: Table;
    readonly instanceListClient: InstanceListClient;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    /** Numbers in [0, 1). */
    readonly random: () => number;
    /** Called when a task throws, which means that an invariant is broken; expected to end the process. */
    readonly onFatalError: (task: string, error: unknown) => void;
};
