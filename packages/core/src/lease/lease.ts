/**
 * A lease in the platform's table, after Gray and Cheriton ("Leases: an efficient fault-tolerant mechanism"), with a
 * fencing number. No clock is compared with another: a candidate waits until it has seen the same renewal for longer than
 * the lease lasts, on its own clock; the holder counts its term from before it sent the renewal.
 */
import { type LeaseRow } from "@rattanquay/schema";

/** What a process knows about its zone's lease. Instants are on its own monotonic clock. */
export type LeaseState = {
    /** The row as last read, and since when it has looked like that. */
    readonly seen: { readonly row: LeaseRow | undefined; readonly sinceMs: number } | undefined;
    /** The term held here, if any. */
    readonly held: { readonly fence: number; readonly renewal: number; readonly untilMs: number } | undefined;
};

export const initialLease: LeaseState = { seen: undefined, held: undefined };

/** What to do next about the lease. */
export type LeaseStep =
    | { readonly kind: "wait" }
    | { readonly kind: "read" }
    | { readonly kind: "take"; readonly row: LeaseRow; readonly expected: LeaseRow | undefined }
    | { readonly kind: "renew"; readonly row: LeaseRow; readonly expected: LeaseRow };

type Options = { readonly holder: string; readonly leaseMs: number; readonly nowMs: number };

/** A candidate waits this much longer than the lease lasts, so that clocks of unlike speed do no harm. */
const takeoverFactor = 1.5;
/** A holder stops this share of the lease before its end, to allow for a pause between check and order. */
const safetyShare = 0.25;

/** Whether orders may be sent now. To be asked after every wait, immediately before each order. */
export function mayAct(state: LeaseState, options: Options): boolean {
    return state.held !== undefined && options.nowMs < state.held.untilMs - options.leaseMs * safetyShare;
}

export function nextLeaseStep(state: LeaseState, options: Options): LeaseStep {
    const { held, seen } = state;
    if (held !== undefined && options.nowMs < held.untilMs) {
        const renewAtMs = held.untilMs - options.leaseMs * 2 / 3;
        const row = { holder: options.holder, fence: held.fence, renewal: held.renewal, leaseMs: options.leaseMs };
        return options.nowMs < renewAtMs
            ? { kind: "wait" }
            : { kind: "renew", row: { ...row, renewal: held.renewal + 1 }, expected: row };
    }
    if (seen === undefined) {
        return { kind: "read" };
    }
    const patienceMs = seen.row === undefined ? 0 : Math.max(options.leaseMs, seen.row.leaseMs) * takeoverFactor;
    if (options.nowMs - seen.sinceMs < patienceMs) {
        return { kind: "read" };
    }
    const fence = (seen.row?.fence ?? 0) + 1;
    const renewal = (seen.row?.renewal ?? 0) + 1;
    return {
        kind: "take",
        row: { holder: options.holder, fence, renewal, leaseMs: options.leaseMs },
        expected: seen.row,
    };
}

/** Takes in the row as read; `nowMs` is when the answer came, so that patience starts no earlier than the write. */
export function noteRead(state: LeaseState, row: LeaseRow | undefined, nowMs: number): LeaseState {
    const same = state.seen !== undefined && state.seen.row?.renewal === row?.renewal
        && state.seen.row?.fence === row?.fence;
    const lost = state.held !== undefined && row?.fence !== state.held.fence;
    return { seen: same ? state.seen : { row, sinceMs: nowMs }, held: lost ? undefined : state.held };
}

/** Takes in that `row` was written here by a call sent at `sentAtMs`. */
export function noteRenewed(state: LeaseState, row: LeaseRow, sentAtMs: number): LeaseState {
    const held = { fence: row.fence, renewal: row.renewal, untilMs: sentAtMs + row.leaseMs };
    return { seen: { row, sinceMs: sentAtMs }, held };
}
