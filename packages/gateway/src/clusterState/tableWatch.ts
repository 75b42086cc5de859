/**
 * Follows one table of the store: a full read, then long polls for changes, and a full read again when the store no
 * longer keeps the history that is needed.
 *
 * Each poll is bounded in time, because a connection can go silent without an error. A pause between two polls groups
 * consecutive changes into few calls.
 */
import { sleep } from "@rattanquay/timer";
import { type GatewayContext } from "../gatewayContext";
import { type RowChanges, type StoredRow, type StoreOutcome } from "../ports";

export type TableReader = {
    readonly onSnapshot: (rows: readonly StoredRow[], asOf: number) => void;
    /** Called with changes and the revision up to which they are complete. */
    readonly onChanges: (changes: RowChanges, asOf: number) => void;
};

export type TableWatch = {
    readonly stop: () => void;
    /** Whether the last call to the store failed. */
    readonly isUnavailable: () => boolean;
    /** When the store last became available again after an outage. */
    readonly returnedAtMs: () => number | undefined;
};

/** Backoff between calls while the store does not answer. */
const initialBackoffMs = 150;
const maxBackoffMs = 400;

export type WatchOptions = {
    readonly table: string;
    readonly reader: TableReader;
    /** Minimum interval between the starts of two polls. */
    readonly minPollMs: () => number;
};

export function watchTable(options: WatchOptions, context: GatewayContext): TableWatch {
    const { timer, log, ports, settings, random } = context;
    const { table, reader } = options;
    let running = true;
    let returnedAtMs: number | undefined;
    let unavailableSinceMs: number | undefined;
    let after: number | undefined;
    let failures = 0;

    const noteOutcome = (outcome: StoreOutcome<unknown>): void => {
        const nowMs = timer.nowMs();
        if (outcome.kind === "done" || outcome.kind === "historyLost") {
            failures = 0;
            if (unavailableSinceMs !== undefined) {
                log.info("storeRegained", { table, awayMs: Math.round(nowMs - unavailableSinceMs) });
                returnedAtMs = nowMs;
                unavailableSinceMs = undefined;
            }
            return;
        }
        failures++;
        if (unavailableSinceMs === undefined) {
            unavailableSinceMs = nowMs;
            log.warn("storeLost", { table, outcome: outcome.kind, reason: reasonOf(outcome) });
        }
    };
    const readAll = async (): Promise<void> => {
        const outcome = await ports.store.read(table);
        noteOutcome(outcome);
        if (outcome.kind === "done") {
            after = outcome.stamp.storeRevision;
            reader.onSnapshot(outcome.value, after);
        }
    };
    const follow = async (from: number): Promise<void> => {
        // During an outage, a long poll would delay the notice that the store is available again.
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
            return Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1)) * (0.5 + random());
        }
        return Math.max(0, options.minPollMs() - (timer.nowMs() - beganAtMs));
    };
    const run = async (): Promise<void> => {
        while (running) {
            const beganAtMs = timer.nowMs();
            await (after === undefined ? readAll() : follow(after));
            const pause = pauseMs(beganAtMs);
            if (pause > 0) {
                await sleep(timer, pause);
            }
        }
    };
    run().catch(error => context.onFatalError(`watch of ${table}`, error));
    return {
        stop: () => {
            running = false;
        },
        isUnavailable: () => unavailableSinceMs !== undefined,
        returnedAtMs: () => returnedAtMs,
    };
}

function reasonOf(outcome: StoreOutcome<unknown>): string | undefined {
    return outcome.kind === "refused" || outcome.kind === "unanswered" ? outcome.reason : undefined;
}
