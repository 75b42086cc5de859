/**
 * Reports rows that cannot be used: all are counted, and each is logged when it is first read, when its fault changes,
 * and seldom after that. The number of lines a second is bounded too, so that many such rows do not hide other events.
 */
import { type Checked } from "@rattanquay/schema";
import { type GatewayContext } from "./gatewayContext";
import { type DecodedRow, type StoredRow } from "./ports";

type RowName = Pick<StoredRow, "table" | "key">;

export type RowFaults = {
    /** Returns the value of a usable row. Reports an unusable one and returns undefined. */
    readonly take: <T>(row: RowName, decoded: DecodedRow<T>) => T | undefined;
};

type Fault = { readonly reason: string; times: number; loggedAtMs: number };

const repeatLineAfterMs = 60_000;
const maxLinesPerSecond = 10;
const msPerSecond = 1_000;
/** Maximum number of rows that are remembered; the oldest are dropped. */
const maxKnownFaults = 500;
const maxKeyLength = 200;

export function makeRowFaults({ log, metrics, timer }: Pick<GatewayContext, "log" | "metrics" | "timer">): RowFaults {
    const faults = new Map<string, Fault>();
    let secondStartedAtMs = -Infinity;
    let lines = 0;
    const mayLog = (): boolean => {
        if (timer.nowMs() - secondStartedAtMs >= msPerSecond) {
            secondStartedAtMs = timer.nowMs();
            lines = 0;
        }
        lines++;
        return lines <= maxLinesPerSecond;
    };
    const note = ({ table, key }: RowName, { reason }: Extract<Checked<unknown>, { kind: "unusable" }>): void => {
        metrics.unusableRows.inc({ table });
        const id = `${table}/${key.slice(0, maxKeyLength)}`;
        const known = faults.get(id);
        const isSame = known?.reason === reason;
        const fault = isSame ? known : { reason, times: known?.times ?? 0, loggedAtMs: -Infinity };
        fault.times++;
        faults.set(id, fault);
        if (faults.size > maxKnownFaults) {
            faults.delete(faults.keys().next().value!);
        }
        if (timer.nowMs() - fault.loggedAtMs >= repeatLineAfterMs && mayLog()) {
            fault.loggedAtMs = timer.nowMs();
            log.warn("rowUnusable", { table, key: key.slice(0, maxKeyLength), reason, times: fault.times });
        }
    };
    return {
        take: (row, decoded) => {
            if (decoded.kind === "unusable") {
                note(row, decoded);
            }
            return decoded.kind === "usable" ? decoded.value : undefined;
        },
    };
}
