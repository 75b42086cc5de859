/**
 * The lease on planning, timed by the store's monotonic clock (Gray and Cheriton, "Leases", with a fencing number).
 *
 * The row names the holder and the store time at which its term ends. Every response of the store carries the store
 * time, so a single read tells a candidate whether the term has expired. The holder converts the end of its term to its
 * local clock, counting from before it sent the request, so it never stops later than the store's clock says. Each
 * write is conditional on the row's revision, so a holder that was paused cannot write after another process took over.
 */
import { type PlanningLease } from "@rattanquay/schema";

/** The row as returned by the store. `sentAtMs` is the local time just before the request was sent. */
export type LeaseSnapshot = {
    readonly row: PlanningLease | undefined;
    /** 0 when there is no row. */
    readonly revision: number;
    readonly storeNowMs: number;
    readonly sentAtMs: number;
};

export type LeaseState = {
    readonly reading: LeaseSnapshot | undefined;
    /** The term held by this process; `untilMs` is on the local clock. */
    readonly held: { readonly fence: number; readonly revision: number; readonly untilMs: number } | undefined;
    readonly nextRequestAtMs: number;
};

export type LeaseStep =
    | { readonly kind: "wait" }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly row: PlanningLease; readonly expectedRevision: number };

export type LeaseOptions = {
    readonly holder: string;
    readonly termMs: number;
    /** Minimum time between two reads by a candidate. */
    readonly readEveryMs: number;
    /** Time that this candidate leaves to others, which suit the duty better, before it takes an expired lease. */
    readonly takeDelayMs: number;
};

export const initialPlanningLease: LeaseState = { reading: undefined, held: undefined, nextRequestAtMs: 0 };

/** The holder renews after this fraction of its term. */
const renewAfterShare = 1 / 3;
/** The holder stops acting this fraction of the term before its end, to allow for the delivery time of an order. */
const safetyShare = 0.15;

/** Whether orders and writes may be sent now. Check after every wait, immediately before each order and each write. */
export function mayPlan(state: LeaseState, { termMs }: Pick<LeaseOptions, "termMs">, nowMs: number): boolean {
    return state.held !== undefined && nowMs < state.held.untilMs - termMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: LeaseOptions, nowMs: number): LeaseStep {
    const { reading, held } = state;
    if (nowMs < state.nextRequestAtMs) {
        return { kind: "wait" };
    }
    if (held !== undefined && reading !== undefined && nowMs < held.untilMs) {
        return { kind: "write", row: makeRow(reading, held.fence, options, nowMs), expectedRevision: held.revision };
    }
    // The lease is only taken on the basis of a recent response from the store.
    const isFresh = reading !== undefined && nowMs - reading.sentAtMs < options.termMs;
    if (!isFresh || !hasExpired(reading)) {
        return { kind: "read" };
    }
    const fence = (reading.row?.fence ?? 0) + 1;
    return { kind: "write", row: makeRow(reading, fence, options, nowMs), expectedRevision: reading.revision };
}

function hasExpired({ row, storeNowMs }: LeaseSnapshot): boolean {
    return row === undefined || storeNowMs >= row.untilStoreMs;
}

function makeRow(
    reading: LeaseSnapshot,
    fence: number,
    { holder, termMs }: LeaseOptions,
    nowMs: number,
): PlanningLease {
    const latestStoreNowMs = reading.storeNowMs + (nowMs - reading.sentAtMs);
    return { holder, fence, untilStoreMs: Math.round(latestStoreNowMs + termMs) };
}

/** Records the row as read, or as left by this process's own accepted write. */
export function noteSnapshot(state: LeaseState, reading: LeaseSnapshot, options: LeaseOptions): LeaseState {
    const { row, revision, storeNowMs, sentAtMs } = reading;
    const isOwn = row !== undefined && row.holder === options.holder && !hasExpired(reading);
    if (isOwn) {
        const untilMs = sentAtMs + (row.untilStoreMs - storeNowMs);
        const held = { fence: row.fence, revision, untilMs };
        return { reading, held, nextRequestAtMs: sentAtMs + options.termMs * renewAfterShare };
    }
    // A running term is read again when it ends, but not before `readEveryMs`.
    const leftMs = row === undefined || hasExpired(reading) ? 0 : row.untilStoreMs - storeNowMs;
    const waitMs = leftMs === 0 ? options.takeDelayMs : Math.max(leftMs, options.readEveryMs);
    return { reading, held: undefined, nextRequestAtMs: sentAtMs + waitMs };
}

/** Records that a request failed, had an unknown outcome or lost to another writer: the row must be read again. */
export function noteUncertainOutcome(state: LeaseState, nowMs: number, pauseMs: number): LeaseState {
    return { ...state, reading: undefined, held: unexpiredTerm(state, nowMs), nextRequestAtMs: nowMs + pauseMs };
}

/** An uncertain renewal does not end the term that was held before it. */
function unexpiredTerm({ held }: LeaseState, nowMs: number): LeaseState["held"] {
    return held !== undefined && nowMs < held.untilMs ? held : undefined;
}
