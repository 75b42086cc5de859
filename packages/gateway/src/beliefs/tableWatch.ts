/**
 * Follows one table of the store: a full read, then its changes by long waits, and a full read again when the history is
 * lost or the store came back from an outage.
 *
 * A wait is bounded, because a connection can go silent without any sign. Between two waits lies a pause, so that many
 * changes in a row cost few calls.
 */
import { sleep } from "@rattanquay/timer";
import { type RowChanges, type StoredRow, type StoreOutcome } from "../ports";
import { type Surroundings } from "../surroundings";

export type TableReader = {
    readonly onWhole: (rows: readonly StoredRow[], asOf: number) => void;
    /** The changes, and the revision up to which they are all. */
    readonly onChanges: (changes: RowChanges, asOf: number) => void;
};

export type TableWatch = {
    readonly stop: () => void;
    /** Whether the store did not answer the last call. */
    readonly isAway: () => boolean;
    /** When it answered again after it had not for a while. */
    readonly returnedAtMs: () => number | undefined;
};

/** Two waits in a row while the store does not answer. */
const firstPauseMs = 150;
const longestPauseMs = 400;

export type WatchOptions = {
    readonly table: string;
    readonly reader: TableReader;
    /** The least time between two waits. */
    readonly paceMs: () => number;
};

export function watchTable(options: WatchOptions, surroundings: Surroundings): TableWatch {
    const { timer, log, ports, settings, random } = surroundings;
    const { table, reader } = options;
    let running = true;
    let returnedAtMs: number | undefined;
    let lostAtMs: number | undefined;
    let after: number | undefined;
    let failures = 0;

    const noteOutcome = (outcome: StoreOutcome<unknown>): void => {
        const nowMs = timer.nowMs();
        if (outcome.kind === "done" || outcome.kind === "historyLost") {
            failures = 0;
            if (lostAtMs !== undefined) {
                log.info("storeRegained", { table, awayMs: Math.round(nowMs - lostAtMs) });
                returnedAtMs = nowMs;
                lostAtMs = undefined;
            }
            return;
        }
        failures++;
        if (lostAtMs === undefined) {
            lostAtMs = nowMs;
            log.warn("storeLost", { table, outcome: outcome.kind, reason: reasonOf(outcome) });
        }
    };
    const readWhole = async (): Promise<void> => {
        const outcome = await ports.store.read(table);
        noteOutcome(outcome);
        if (outcome.kind === "done") {
            after = outcome.stamp.storeRevision;
            reader.onWhole(outcome.value, after);
        }
    };
    const follow = async (from: number): Promise<void> => {
        // While the store is away a wait would only be heard of late.
        const waitMs = failures > 0 ? 0 : settings.bounds.contactMs;
        const outcome = await ports.store.follow(table, from, waitMs);
        noteOutcome(outcome);
        if (outcome.kind === "done") {
            after = Math.max(from, outcome.stamp.storeRevision);
            reader.onChanges(outcome.value, after);
        }
        if (outcome.kind === "historyLost") {
            log.warn("historyLost", { table, after: from });
            after = undefined;
        }
    };
    const pauseMs = (beganAtMs: number): number => {
        if (failures > 0) {
            return Math.min(longestPauseMs, firstPauseMs * 2 ** (failures - 1)) * (0.5 + random());
        }
        return Math.max(0, options.paceMs() - (timer.nowMs() - beganAtMs));
    };
    const run = async (): Promise<void> => {
        while (running) {
            const beganAtMs = timer.nowMs();
            await (after === undefined ? readWhole() : follow(after));
            const pause = pauseMs(beganAtMs);
            if (pause > 0) {
                await sleep(timer, pause);
            }
        }
    };
    run().catch(error => surroundings.onBroken(`watch of ${table}`, error));
    return {
        stop: () => {
            running = false;
        },
        isAway: () => lostAtMs !== undefined,
        returnedAtMs: () => returnedAtMs,
    };
}

function reasonOf(outcome: StoreOutcome<unknown>): string | undefined {
    return outcome.kind === "refused" || outcome.kind === "unanswered" ? outcome.reason : undefined;
}
