/**
 * A lease in the platform's table, after Gray and Cheriton ("Leases: an efficient fault-tolerant mechanism"), with a
 * fencing number. Clocks of different processes are never compared: a candidate waits until it has observed the same
 * renewal for longer than the lease duration on its own clock; the holder counts its term from before it sent the
 * renewal.
 *
 * A write whose response was lost is resolved by reading the row back: the token in the row identifies the write.
 */
import { type LeaseRow } from "@rattanquay/schema";

/** The lease row as stored in the table. */
export type StoredLease = { readonly row: LeaseRow; readonly version: number; readonly token: string };

/** What a process knows about its zone's lease. Times are on its own monotonic clock. */
export type LeaseState = {
    /** The row as last read, when this content was first observed, and when the row was last read. */
    readonly observed:
        | { readonly stored: StoredLease | undefined; readonly sinceMs: number; readonly readAtMs: number }
        | undefined;
    /** When the last request about the lease was sent to the table. */
    readonly lastRequestAtMs: number;
    /** The term held by this process, if any. */
    readonly held: { readonly fence: number; readonly renewal: number; readonly untilMs: number } | undefined;
    /** Recent writes of this process, kept to recognize its own row when it is read back. */
    readonly recentWrites: readonly (StoredLease & { readonly sentAtMs: number })[];
};

export const initialLease: LeaseState = {
    observed: undefined,
    lastRequestAtMs: -Infinity,
    held: undefined,
    recentWrites: [],
};

/** The next operation on the lease. */
export type LeaseStep =
    | { readonly kind: "wait" }
    | { readonly kind: "read" }
    | { readonly kind: "take"; readonly row: LeaseRow; readonly expected: StoredLease | undefined }
    | { readonly kind: "renew"; readonly row: LeaseRow; readonly expected: StoredLease | undefined };

type Options = {
    readonly holder: string;
    readonly leaseMs: number;
    readonly nowMs: number;
    /** Minimum time between two calls of a candidate to the table. */
    readonly readEveryMs: number;
};

/** A candidate waits for the lease duration times this factor, to tolerate clocks that run at different rates. */
const takeoverFactor = 1.5;
/** The holder stops acting this fraction of the lease before its end, to allow for a pause between check and order. */
const safetyShare = 0.25;
/** Maximum number of recent writes that are remembered. */
const maxRecentWrites = 8;

/** Whether orders may be sent now. Check after every wait, immediately before each order and each write. */
export function mayAct(state: LeaseState, options: Pick<Options, "leaseMs" | "nowMs">): boolean {
    return state.held !== undefined && options.nowMs < state.held.untilMs - options.leaseMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: Options): LeaseStep {
    const { held, observed } = state;
    if (held !== undefined && options.nowMs < held.untilMs) {
        return renewOrWait(held, observed?.stored, options);
    }
    const mayRequest = options.nowMs - state.lastRequestAtMs >= options.readEveryMs;
    if (
        observed === undefined || options.nowMs - observed.sinceMs < takeoverDelayMs(observed.stored, options.leaseMs)
    ) {
        return { kind: mayRequest ? "read" : "wait" };
    }
    if (!mayRequest && state.lastRequestAtMs > observed.readAtMs) {
        return { kind: "wait" };
    }
    const { holder, leaseMs } = options;
    const fence = (observed.stored?.row.fence ?? 0) + 1;
    const renewalNumber = (observed.stored?.row.renewal ?? 0) + 1;
    return { kind: "take", row: { holder, fence, renewal: renewalNumber, leaseMs }, expected: observed.stored };
}

function renewOrWait(
    held: NonNullable<LeaseState["held"]>,
    expected: StoredLease | undefined,
    { holder, leaseMs, nowMs }: Options,
): LeaseStep {
    const row = { holder, fence: held.fence, renewal: held.renewal + 1, leaseMs };
    return nowMs < held.untilMs - leaseMs * 2 / 3 ? { kind: "wait" } : { kind: "renew", row, expected };
}

function takeoverDelayMs(stored: StoredLease | undefined, leaseMs: number): number {
    return stored === undefined ? 0 : Math.max(leaseMs, stored.row.leaseMs) * takeoverFactor;
}

/** Records that a request is about to be sent to the table: a read, or the write of `written`. */
export function noteRequestSent(state: LeaseState, written: StoredLease | undefined, nowMs: number): LeaseState {
    const added = written === undefined ? [] : [{ ...written, sentAtMs: nowMs }];
    return {
        ...state,
        lastRequestAtMs: nowMs,
        recentWrites: [...state.recentWrites, ...added].slice(-maxRecentWrites),
    };
}

/**
 * Records the row as read, or as left by an acknowledged write. `nowMs` is when the response arrived, so that the
 * takeover delay starts no earlier than the write. The term of a row that this process wrote counts from
 * before it was sent.
 */
export function noteObservedRow(state: LeaseState, stored: StoredLease | undefined, nowMs: number): LeaseState {
    const before = state.observed;
    const isUnchanged = before !== undefined && before.stored?.token === stored?.token
        && before.stored?.version === stored?.version;
    const observed = { stored, sinceMs: isUnchanged ? before.sinceMs : nowMs, readAtMs: nowMs };
    const ownWrite = stored === undefined
        ? undefined
        : state.recentWrites.find(write => write.token === stored.token);
    if (ownWrite !== undefined) {
        const { fence, renewal: number, leaseMs } = ownWrite.row;
        return { ...state, observed, held: { fence, renewal: number, untilMs: ownWrite.sentAtMs + leaseMs } };
    }
    const isLost = stored?.row.fence !== state.held?.fence;
    return { ...state, observed, held: isLost ? undefined : state.held };
}
