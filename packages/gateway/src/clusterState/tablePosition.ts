/**
 * The position up to which a table of the store is known to its watch, over lost history and over restores.
 *
 * When the store has come back from a copy, the changes since an earlier position can't be asked for. The table is then read
 * whole, unless relays have passed on what it holds in the new era by then.
 */
import { describePosition, eraOf, type StorePosition } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { sleep, type Timer } from "@rattanquay/timer";
import { type StoreOutcome } from "../ports";

type LostHistory = Extract<StoreOutcome<unknown>, { readonly kind: "historyLost" }>;

export type TablePosition = {
    /** The position after which changes must be asked for; undefined if the table must be read whole. */
    readonly followFrom: () => StorePosition | undefined;
    /** Records a full read. Returns whether it is to be applied, which one older than what is known is not. */
    readonly noteRead: (position: StorePosition) => boolean;
    /** Records that all changes after `from` up to a position are known. Returns the newest position known. */
    readonly noteChanges: (from: StorePosition, position: StorePosition) => StorePosition;
    /** Records that the changes after `from` can't be had. */
    readonly noteLost: (lost: LostHistory, from: StorePosition) => void;
    /** Whether relays are to be given the time to pass on the table before it is read whole. */
    readonly mustAwaitRelays: () => boolean;
    /** Resolves when that time is over. */
    readonly awaitRelays: () => Promise<void>;
};

export type TablePositionOptions = {
    readonly table: string;
    /** The position up to which the table is known from elsewhere; 0 if unknown. */
    readonly knownRevision: () => StorePosition;
    /** How long relays are given. */
    readonly restoredDelayMs?: () => number;
};

export function makeTablePosition(
    { table, knownRevision, restoredDelayMs = () => 0 }: TablePositionOptions,
    { timer, log }: { readonly timer: Timer; readonly log: Log },
): TablePosition {
    let after: StorePosition | undefined;
    /** The last position of the era before, while the table of a restored store is not known. */
    let lostFrom: StorePosition | undefined;
    return {
        followFrom: () => after === undefined ? undefined : Math.max(after, knownRevision()),
        noteRead: position => {
            const isNewer = position >= (after ?? 0);
            after = isNewer ? position : after;
            return isNewer;
        },
        noteChanges: (from, position) => {
            const newest = Math.max(from, after ?? from, position);
            // If the history was lost meanwhile, the whole table must still be read.
            after = after === undefined ? undefined : newest;
            return newest;
        },
        noteLost: ({ isRestored }, from) => {
            log.warn("historyLost", { table, after: describePosition(from), isRestored });
            // Unless the table has been read since the question.
            after = after !== undefined && after > from ? after : undefined;
            lostFrom = isRestored === true ? from : undefined;
        },
        mustAwaitRelays: () => after === undefined && lostFrom !== undefined,
        awaitRelays: async () => {
            const from = lostFrom ?? 0;
            lostFrom = undefined;
            await sleep(timer, restoredDelayMs());
            const known = knownRevision();
            after ??= eraOf(known) > eraOf(from) ? known : undefined;
        },
    };
}
