/**
 * A lease in the platform's table, after Gray and Cheriton ("Leases: an efficient fault-tolerant mechanism"), with a
 * fencing number. No clock is compared with another: a candidate waits until it has seen the same renewal for longer than
 * the lease lasts, on its own clock; the holder counts its term from before it sent the renewal.
 *
 * A write whose answer was lost is settled by reading the row back: the token that stands there names the write.
 */
import { type LeaseRow } from "@rattanquay/schema";

/** The lease's row as it stands in the table. */
export type StoredLease = { readonly row: LeaseRow; readonly version: number; readonly token: string };

/** What a process knows about its zone's lease. Instants are on its own monotonic clock. */
export type LeaseState = {
    /** The row as last read, since when it has looked like that, and when it was read last. */
    readonly seen:
        | { readonly stored: StoredLease | undefined; readonly sinceMs: number; readonly readAtMs: number }
        | undefined;
    /** When the table was last asked for anything about the lease. */
    readonly askedAtMs: number;
    /** The term held here, if any. */
    readonly held: { readonly fence: number; readonly renewal: number; readonly untilMs: number } | undefined;
    /** Writes of this process that may yet turn out to have taken effect. */
    readonly sent: readonly (StoredLease & { readonly sentAtMs: number })[];
};

export const initialLease: LeaseState = { seen: undefined, askedAtMs: -Infinity, held: undefined, sent: [] };

/** What to do next about the lease. */
export type LeaseStep =
    | { readonly kind: "wait" }
    | { readonly kind: "read" }
    | { readonly kind: "take"; readonly row: LeaseRow; readonly expected: StoredLease | undefined }
    | { readonly kind: "renew"; readonly row: LeaseRow; readonly expected: StoredLease | undefined };

type Options = {
    readonly holder: string;
    readonly leaseMs: number;
    readonly nowMs: number;
    /** How long a candidate waits between two calls to the table. */
    readonly readEveryMs: number;
};

/** A candidate waits this much longer than the lease lasts, so that clocks of unlike speed do no harm. */
const takeoverFactor = 1.5;
/** A holder stops this share of the lease before its end, to allow for a pause between check and order. */
const safetyShare = 0.25;
/** Writes without an answer that are remembered. */
const keptWrites = 8;

/** Whether orders may be sent now. To be asked after every wait, immediately before each order and each write. */
export function mayAct(state: LeaseState, options: Pick<Options, "leaseMs" | "nowMs">): boolean {
    return state.held !== undefined && options.nowMs < state.held.untilMs - options.leaseMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: Options): LeaseStep {
    const { held, seen } = state;
    if (held !== undefined && options.nowMs < held.untilMs) {
        return renewal(held, seen?.stored, options);
    }
    const mayAsk = options.nowMs - state.askedAtMs >= options.readEveryMs;
    if (seen === undefined || options.nowMs - seen.sinceMs < patienceMs(seen.stored, options.leaseMs)) {
        return { kind: mayAsk ? "read" : "wait" };
    }
    if (!mayAsk && state.askedAtMs > seen.readAtMs) {
        return { kind: "wait" };
    }
    const { holder, leaseMs } = options;
    const fence = (seen.stored?.row.fence ?? 0) + 1;
    const renewalNumber = (seen.stored?.row.renewal ?? 0) + 1;
    return { kind: "take", row: { holder, fence, renewal: renewalNumber, leaseMs }, expected: seen.stored };
}

function renewal(
    held: NonNullable<LeaseState["held"]>,
    expected: StoredLease | undefined,
    { holder, leaseMs, nowMs }: Options,
): LeaseStep {
    const row = { holder, fence: held.fence, renewal: held.renewal + 1, leaseMs };
    return nowMs < held.untilMs - leaseMs * 2 / 3 ? { kind: "wait" } : { kind: "renew", row, expected };
}

function patienceMs(stored: StoredLease | undefined, leaseMs: number): number {
    return stored === undefined ? 0 : Math.max(leaseMs, stored.row.leaseMs) * takeoverFactor;
}

/** Takes in that the table is about to be asked: to read the row, or to write this one. */
export function noteAsked(state: LeaseState, written: StoredLease | undefined, nowMs: number): LeaseState {
    const added = written === undefined ? [] : [{ ...written, sentAtMs: nowMs }];
    return { ...state, askedAtMs: nowMs, sent: [...state.sent, ...added].slice(-keptWrites) };
}

/**
 * Takes in the row as read, or as a write that was answered left it. `nowMs` is when the answer came, so that patience
 * starts no earlier than the write. A row that this process wrote counts from before it was sent.
 */
export function noteRead(state: LeaseState, stored: StoredLease | undefined, nowMs: number): LeaseState {
    const before = state.seen;
    const same = before !== undefined && before.stored?.token === stored?.token
        && before.stored?.version === stored?.version;
    const seen = { stored, sinceMs: same ? before.sinceMs : nowMs, readAtMs: nowMs };
    const own = stored === undefined ? undefined : state.sent.find(write => write.token === stored.token);
    if (own !== undefined) {
        const { fence, renewal: number, leaseMs } = own.row;
        return { ...state, seen, held: { fence, renewal: number, untilMs: own.sentAtMs + leaseMs } };
    }
    const lost = stored?.row.fence !== state.held?.fence;
    return { ...state, seen, held: lost ? undefined : state.held };
}
