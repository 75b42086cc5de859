/**
 * The lease on planning, timed by the store's steady clock (Gray and Cheriton, "Leases", with a fencing number).
 *
 * A row names the holder and the store's instant at which its term ends. Every answer of the store carries the store's
 * time, so one read tells a candidate whether the term is over. The holder turns the end of its term into an instant of
 * its own clock, counted from before it asked: it always stops no later than the store's clock says. Each write is
 * conditional on the row's revision, so a holder that stood still cannot write after another took over.
 */
import { type PlanningLease } from "@rattanquay/schema";

/** The row as an answer of the store showed it. `sentAtMs` is the own instant just before the question went out. */
export type LeaseReading = {
    readonly row: PlanningLease | undefined;
    /** 0 when there is no row. */
    readonly revision: number;
    readonly storeNowMs: number;
    readonly sentAtMs: number;
};

export type LeaseState = {
    readonly reading: LeaseReading | undefined;
    /** The term held here; `untilMs` is on the own clock. */
    readonly held: { readonly fence: number; readonly revision: number; readonly untilMs: number } | undefined;
    readonly nextAskAtMs: number;
};

export type LeaseStep =
    | { readonly kind: "wait" }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly row: PlanningLease; readonly expectedRevision: number };

export type LeaseOptions = {
    readonly holder: string;
    readonly termMs: number;
    /** How long a candidate waits between two reads. */
    readonly readEveryMs: number;
};

export const noLease: LeaseState = { reading: undefined, held: undefined, nextAskAtMs: 0 };

/** A holder renews when this part of its term has passed. */
const renewAfterShare = 1 / 3;
/** A holder stops acting this part of the term before its end, for the way that an order takes. */
const safetyShare = 0.15;

/** Whether orders and writes may go out now. Ask after every wait, immediately before each of them. */
export function mayPlan(state: LeaseState, { termMs }: Pick<LeaseOptions, "termMs">, nowMs: number): boolean {
    return state.held !== undefined && nowMs < state.held.untilMs - termMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: LeaseOptions, nowMs: number): LeaseStep {
    const { reading, held } = state;
    if (nowMs < state.nextAskAtMs) {
        return { kind: "wait" };
    }
    if (held !== undefined && reading !== undefined && nowMs < held.untilMs) {
        return { kind: "write", row: rowOf(reading, held.fence, options, nowMs), expectedRevision: held.revision };
    }
    // A term is only taken on the strength of an answer that came just now.
    const isFresh = reading !== undefined && nowMs - reading.sentAtMs < options.termMs;
    if (!isFresh || !isOver(reading)) {
        return { kind: "read" };
    }
    const fence = (reading.row?.fence ?? 0) + 1;
    return { kind: "write", row: rowOf(reading, fence, options, nowMs), expectedRevision: reading.revision };
}

function isOver({ row, storeNowMs }: LeaseReading): boolean {
    return row === undefined || storeNowMs >= row.untilStoreMs;
}

function rowOf(reading: LeaseReading, fence: number, { holder, termMs }: LeaseOptions, nowMs: number): PlanningLease {
    const latestStoreNowMs = reading.storeNowMs + (nowMs - reading.sentAtMs);
    return { holder, fence, untilStoreMs: Math.round(latestStoreNowMs + termMs) };
}

/** Takes in the row as read, or as this process's own accepted write left it. */
export function noteReading(state: LeaseState, reading: LeaseReading, options: LeaseOptions): LeaseState {
    const { row, revision, storeNowMs, sentAtMs } = reading;
    const isOwn = row !== undefined && row.holder === options.holder && !isOver(reading);
    if (isOwn) {
        const untilMs = sentAtMs + (row.untilStoreMs - storeNowMs);
        const held = { fence: row.fence, revision, untilMs };
        return { reading, held, nextAskAtMs: sentAtMs + options.termMs * renewAfterShare };
    }
    // A term that is over is taken at once; one that runs is looked at again after the usual time, or when it ends.
    const leftMs = row === undefined || isOver(reading) ? 0 : row.untilStoreMs - storeNowMs;
    const nextAskAtMs = leftMs === 0 ? 0 : sentAtMs + Math.max(leftMs, options.readEveryMs);
    return { reading, held: undefined, nextAskAtMs };
}

/** Takes in that the store gave no clear answer, or that another was first: the row must be read again. */
export function noteDoubt(state: LeaseState, nowMs: number, pauseMs: number): LeaseState {
    return { ...state, reading: undefined, held: stillHeld(state, nowMs), nextAskAtMs: nowMs + pauseMs };
}

/** A doubt about a renewal does not end the term that was held before it. */
function stillHeld({ held }: LeaseState, nowMs: number): LeaseState["held"] {
    return held !== undefined && nowMs < held.untilMs ? held : undefined;
}
