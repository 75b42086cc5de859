/**
 * Follows one table of the store: a full read, then long polls for changes, and a full read again when the store no
 * longer keeps the history that is needed, or has come back from a copy that lacks it.
 *
 * Each poll is bounded in time, because a connection can go silent without an error. A pause between two polls groups
 * consecutive changes into few calls. A watch can be suspended while relays provide the same changes.
 */
import { type StorePosition } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
import { type GatewayContext } from "../gatewayContext";
import { type RowChanges, type StoredRow, type StoreOutcome } from "../ports";
import { makeAnswerCheck } from "./answerCheck";
import { makeStoreAvailability } from "./storeAvailability";
import { makeTablePosition } from "./tablePosition";

export type TableReader = {
    readonly onSnapshot: (rows: readonly StoredRow[], asOf: StorePosition) => void;
    /** Called with changes and the position up to which they are complete. */
    readonly onChanges: (changes: RowChanges, asOf: StorePosition) => void;
};

export type TableWatch = {
    readonly stop: () => void;
    /** Suspends or resumes the watch. A call in progress at a suspension is completed. */
    readonly setActive: (isActive: boolean) => void;
    /**
     * Asks the store for changes at once, beside the running poll, and reads the whole table if it was never read or the
     * store no longer keeps the history. Resolves to whether an answer was applied.
     */
    readonly confirm: () => Promise<boolean>;
    /** The same, also while the watch is suspended. */
    readonly confirmAnyway: () => Promise<boolean>;
    readonly isActive: () => boolean;
    /** Whether the last call to the store failed; false while the watch is suspended. */
    readonly isUnavailable: () => boolean;
    /** Whether the watch is active and the store answered its last call. */
    readonly isCurrent: () => boolean;
    /**
     * Time since the store's last answer, or since the last bytes of one that is arriving; infinite before the first answer
     * since the watch was resumed.
     */
    readonly answerAgeMs: () => number;
    /** When the store last became available again after an outage. */
    readonly returnedAtMs: () => number | undefined;
};

/** Backoff between calls while the store does not answer, before it is varied. */
const initialBackoffMs = 150;
const maxBackoffMs = 400;
const minBackoffFactor = 0.5;
const maxBackoffFactor = 1.5;
/** For a read over a new connection, and for relays to pass on what it brings. */
const rereadMs = 500;
const minWaitMs = 100;

/**
 * How long a poll may wait so that the state is current again within `contactMs` after a connection went silent. Until
 * then pass the wait, the slack after which the poll is given up, a backoff, and a read over a new connection.
 */
export function longestWaitMs(contactMs: number, followSlackMs: number): number {
    return Math.max(minWaitMs, contactMs - followSlackMs - initialBackoffMs * maxBackoffFactor - rereadMs);
}

export type WatchOptions = {
    readonly table: string;
    readonly reader: TableReader;
    /** Minimum interval between the starts of two polls. */
    readonly minPollMs: () => number;
    /** How long a poll waits for changes at most. */
    readonly maxWaitMs: () => number;
    /** The position up to which the changes are known from elsewhere; 0 if unknown. */
    readonly knownRevision: () => StorePosition;
    /**
     * How long to wait, after the store has come back from a copy, for the table to become known from elsewhere, before it is
     * read whole.
     */
    readonly restoredDelayMs?: () => number;
    /** Called after an answer has been applied that is up to date as of the time at which it was asked for. */
    readonly onUpToDate?: (askedAtMs: number) => void;
};

type DonePoll = Extract<StoreOutcome<RowChanges>, { readonly kind: "done" }>;

export function watchTable(options: WatchOptions, context: GatewayContext): TableWatch {
    const { timer, ports, random } = context;
    const { table, reader } = options;
    let running = true;
    let active = true;
    /** The full read of the running watch that is under way; a confirmation that needs one joins it. */
    let ownRead: Promise<boolean> | undefined;
    let resume = (): void => undefined;
    const availability = makeStoreAvailability(table, context);
    const position = makeTablePosition(options, context);
    const checkApplied = makeAnswerCheck(options.onUpToDate ?? (() => undefined));

    /** Returns whether the answer to a full read was applied, which one older than what was read meanwhile is not. */
    const applyRead = (outcome: StoreOutcome<readonly StoredRow[]>): boolean => {
        if (outcome.kind !== "done" || !position.noteRead(outcome.stamp.storeRevision)) {
            return false;
        }
        reader.onSnapshot(outcome.value, outcome.stamp.storeRevision);
        checkApplied(outcome.stamp);
        return true;
    };
    const readAll = async (): Promise<boolean> => {
        const outcome = await ports.store.read(table, availability.noteProgress);
        availability.noteOutcome(outcome);
        return applyRead(outcome);
    };
    const follow = async (from: StorePosition): Promise<void> => {
        // A long poll would delay the notice that the store is available, after an outage or a suspension.
        const waitMs = availability.isAnswered() ? options.maxWaitMs() : 0;
        const outcome = await ports.store.follow(table, from, waitMs, availability.noteProgress);
        availability.noteOutcome(outcome);
        if (outcome.kind === "done") {
            reader.onChanges(outcome.value, position.noteChanges(from, outcome.stamp.storeRevision));
            checkApplied({ ...outcome.stamp, sentAtMs: unchangedUntilMs(outcome, waitMs, timer.nowMs()) });
        }
        if (outcome.kind === "historyLost") {
            position.noteLost(outcome, from);
        }
    };
    const confirmByChanges = async (from: StorePosition): Promise<StoreOutcome<RowChanges>["kind"]> => {
        const outcome = await ports.store.follow(table, from, 0);
        if (outcome.kind === "done") {
            reader.onChanges(outcome.value, position.noteChanges(from, outcome.stamp.storeRevision));
            checkApplied(outcome.stamp);
        }
        if (outcome.kind === "historyLost") {
            position.noteLost(outcome, from);
        }
        return outcome.kind;
    };
    const confirmAnyway = async (): Promise<boolean> => {
        const from = position.followFrom();
        const kind = from === undefined ? "historyLost" : await confirmByChanges(from);
        return kind === "historyLost"
            ? await (ownRead ?? ports.store.read(table).then(applyRead))
            : kind === "done";
    };
    const pauseMs = (beganAtMs: number): number =>
        availability.failures() > 0
            ? backoffMs(availability.failures(), random())
            : options.minPollMs() - (timer.nowMs() - beganAtMs);
    const run = async (): Promise<void> => {
        while (running) {
            if (!active) {
                await new Promise<void>(resolve => resume = resolve);
                continue;
            }
            if (position.mustAwaitRelays()) {
                await position.awaitRelays();
                continue;
            }
            const beganAtMs = timer.nowMs();
            const from = position.followFrom();
            if (from === undefined) {
                ownRead = readAll().finally(() => ownRead = undefined);
                await ownRead;
            }
            else {
                await follow(from);
            }
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
            resume();
        },
        setActive: next => {
            if (next && !active) {
                availability.forgetAnswer();
                active = true;
                resume();
            }
            active = next;
        },
        confirm: async () => active && await confirmAnyway(),
        confirmAnyway,
        isActive: () => active,
        isUnavailable: () => active && availability.isUnavailable(),
        isCurrent: () => active && availability.isAnswered(),
        answerAgeMs: availability.answerAgeMs,
        returnedAtMs: availability.returnedAtMs,
    };
}

/** A poll that ends without changes after its whole wait states that there were none until then. */
function unchangedUntilMs({ value, stamp }: DonePoll, waitMs: number, nowMs: number): number {
    const waitedUntilMs = stamp.sentAtMs + waitMs;
    const hasChanges = value.rows.length + value.removed.length > 0;
    return hasChanges || nowMs < waitedUntilMs ? stamp.sentAtMs : waitedUntilMs;
}

/** `random` is in [0, 1). */
function backoffMs(failures: number, random: number): number {
    const factor = minBackoffFactor + (maxBackoffFactor - minBackoffFactor) * random;
    return Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1)) * factor;
}
