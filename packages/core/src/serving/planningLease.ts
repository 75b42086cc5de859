/**
 * The lease on planning, timed by the store's monotonic clock (Gray and Cheriton, "Leases", with a fencing number).
 *
 * The row names the holder and the store time at which its term ends. Every response of the store carries the store
 * time, so a single read tells a candidate whether the term has expired. The holder converts the end of its term to its
 * local clock, counting from before it sent the request, so it never stops later than the store's clock says. Each
 * write is conditional on the row's revision, so a holder that was paused cannot write after another process took over.
 *
 * A store that has come back from an older copy may show the row of a term that ended, or none, while a term that the copy lacks
 * still runs. So a row of an earlier era is nobody's term, and the lease is taken only when a whole term has passed since the
 * candidate's first answer of the era: what was acknowledged before the restore has run out by then.
 */
import { type PlanningLease } from "@rattanquay/schema";

/** The row as returned by the store. `sentAtMs` is the local time just before the request was sent. */
export type LeaseSnapshot = {
    readonly row: PlanningLease | undefined;
    /** 0 when there is no row. */
    readonly revision: number;
    readonly storeNowMs: number;
    readonly sentAtMs: number;
    /** The store's era, 0 by default, and the local time of its answer, `sentAtMs` by default. */
    readonly era?: number;
    readonly receivedAtMs?: number;
};

/** The era of the store as far as this process knows it. */
type KnownEra = {
    readonly era: number;
    /** When its first answer came. */
    readonly sinceMs: number;
    /** Whether this process knew an earlier era. */
    readonly isLater: boolean;
    /** The highest fence seen, and the era in which it was given. */
    readonly highest: { readonly fence: number; readonly era: number };
};

export type LeaseState = {
    readonly reading: LeaseSnapshot | undefined;
    readonly knownEra?: KnownEra;
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

/**
 * The fences that a restored store may have forgotten: many more than holders can have changed within the age of a copy. The first
 * holder leaves them out for each era since that of the last fence that it knows, so that no fence is given twice.
 */
export const fencesPerEra = 1_000;

/** Whether orders and writes may be sent now. Check after every wait, immediately before each order and each write. */
export function mayPlan(state: LeaseState, { termMs }: Pick<LeaseOptions, "termMs">, nowMs: number): boolean {
    return state.held !== undefined && nowMs < state.held.untilMs - termMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: LeaseOptions, nowMs: number): LeaseStep {
    const { reading, held, knownEra } = state;
    if (nowMs < state.nextRequestAtMs) {
        return { kind: "wait" };
    }
    if (held !== undefined && reading !== undefined && nowMs < held.untilMs) {
        return { kind: "write", row: makeRow(reading, held.fence, options, nowMs), expectedRevision: held.revision };
    }
    // The lease is only taken on the basis of a recent response from the store.
    const isFresh = reading !== undefined && nowMs - reading.sentAtMs < options.termMs;
    if (!isFresh || !hasExpired(reading) || nowMs < termsOfEarlierErasEndMs(reading, knownEra, options)) {
        return { kind: "read" };
    }
    return {
        kind: "write",
        row: makeRow(reading, nextFence(reading, knownEra), options, nowMs),
        expectedRevision: reading.revision,
    };
}

function hasExpired({ row, storeNowMs, era = 0 }: LeaseSnapshot): boolean {
    return row === undefined || isOfEarlierEra(row, era) || storeNowMs >= row.untilStoreMs;
}

/** A row of an earlier build is as good as one of the era in which it is read. */
function isOfEarlierEra(row: PlanningLease, era: number): boolean {
    return (row.era ?? era) < era;
}

/** Whether nobody has taken the lease in this era, as far as the row shows, while there were earlier ones. */
function hasForgottenTerms({ row, era = 0 }: LeaseSnapshot, knownEra: KnownEra | undefined): boolean {
    return row === undefined ? knownEra?.isLater === true : isOfEarlierEra(row, era);
}

function termsOfEarlierErasEndMs(
    reading: LeaseSnapshot,
    knownEra: KnownEra | undefined,
    { termMs }: LeaseOptions,
): number {
    const mayRun = knownEra !== undefined && (knownEra.isLater || hasForgottenTerms(reading, knownEra));
    return mayRun ? knownEra.sinceMs + termMs : -Infinity;
}

function nextFence({ era = 0 }: LeaseSnapshot, knownEra: KnownEra | undefined): number {
    const { highest = { fence: 0, era } } = knownEra ?? {};
    return highest.fence + 1 + (era - highest.era) * fencesPerEra;
}

function noteEra({ knownEra }: LeaseState, reading: LeaseSnapshot): KnownEra {
    const { row, era = 0, sentAtMs, receivedAtMs = sentAtMs } = reading;
    const { fence, era: fenceEra = era } = row ?? { fence: 0, era };
    const highest = knownEra !== undefined && knownEra.highest.fence >= fence
        ? knownEra.highest
        : { fence, era: fenceEra };
    return knownEra?.era === era
        ? { ...knownEra, highest }
        : { era, sinceMs: receivedAtMs, isLater: knownEra !== undefined, highest };
}

function makeRow(
    reading: LeaseSnapshot,
    fence: number,
    { holder, termMs }: LeaseOptions,
    nowMs: number,
): PlanningLease {
    const latestStoreNowMs = reading.storeNowMs + (nowMs - reading.sentAtMs);
    return { holder, fence, untilStoreMs: Math.round(latestStoreNowMs + termMs), era: reading.era ?? 0 };
}

/** Records the row as read, or as left by this process's own accepted write. */
export function noteSnapshot(state: LeaseState, reading: LeaseSnapshot, options: LeaseOptions): LeaseState {
    const { row, revision, storeNowMs, sentAtMs } = reading;
    const knownEra = noteEra(state, reading);
    const isOwn = row !== undefined && row.holder === options.holder && !hasExpired(reading);
    if (isOwn) {
        const untilMs = sentAtMs + (row.untilStoreMs - storeNowMs);
        const held = { fence: row.fence, revision, untilMs };
        return { reading, knownEra, held, nextRequestAtMs: sentAtMs + options.termMs * renewAfterShare };
    }
    // A running term is read again when it ends, but not before `readEveryMs`.
    const leftMs = row === undefined || hasExpired(reading) ? 0 : row.untilStoreMs - storeNowMs;
    const waitMs = leftMs === 0 ? options.takeDelayMs : Math.max(leftMs, options.readEveryMs);
    const nextRequestAtMs = Math.max(sentAtMs + waitMs, termsOfEarlierErasEndMs(reading, knownEra, options));
    return { reading, knownEra, held: undefined, nextRequestAtMs };
}

/** Records that a request failed, had an unknown outcome or lost to another writer: the row must be read again. */
export function noteUncertainOutcome(state: LeaseState, nowMs: number, pauseMs: number): LeaseState {
    return { ...state, reading: undefined, held: unexpiredTerm(state, nowMs), nextRequestAtMs: nowMs + pauseMs };
}

/** An uncertain renewal does not end the term that was held before it. */
function unexpiredTerm({ held }: LeaseState, nowMs: number): LeaseState["held"] {
    return held !== undefined && nowMs < held.untilMs ? held : undefined;
}
