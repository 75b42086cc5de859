/**
 * The grants of the holder of the planning lease: at most `limit` requests to each upstream within any `grantWindowMs`.
 *
 * An upstream that restarts keeps its count: processes that still hold the earlier record ask for the same upstream, and
 * their requests reach the new incarnation.
 */
import { grantDelayAfterTermStartMs, grantWindowMs } from "./coldTiming";

/** Why a question is answered as it is. Only `granted` permits the request. */
export type GrantResult =
    | "granted"
    | "overLimit"
    /** The process does not hold the lease for certain. */
    | "notHolder"
    /** The term has only just begun. */
    | "newTerm"
    /** The holder knows no limit of the service, or cannot remember more grants. */
    | "unknown";

/** The lease term of the process that is asked; `sinceMs` is when it learnt of it, undefined without a term. */
export type HeldTerm = { readonly isHeld: boolean; readonly sinceMs: number | undefined };

export type GrantCounts = { readonly upstream: string; readonly granted: number; readonly refused: number };

export type ColdGrantLedger = {
    /** Decides about one request. `limit` is undefined if the service has none that is known. */
    readonly decide: (upstream: string, limit: number | undefined, term: HeldTerm, nowMs: number) => GrantResult;
    /** Counts for each upstream since the last call, and drops what is no longer needed. */
    readonly takeCounts: (nowMs: number) => readonly GrantCounts[];
};

type Entry = { grantedAtMs: number[]; granted: number; refused: number };

/** More upstreams than are cold at a time in the largest fleets. */
export const maxLedgerUpstreams = 2_048;
/** Grants to one upstream that are remembered, whatever its limit. */
export const maxGrantsInWindow = 4_096;

export function makeColdGrantLedger(): ColdGrantLedger {
    const entries = new Map<string, Entry>();
    const dropUnused = (nowMs: number): void => {
        for (const [upstream, entry] of entries) {
            dropOld(entry, nowMs);
            if (entry.grantedAtMs.length + entry.granted + entry.refused === 0) {
                entries.delete(upstream);
            }
        }
    };
    const entryOf = (upstream: string): Entry | undefined => {
        const known = entries.get(upstream);
        if (known !== undefined || entries.size >= maxLedgerUpstreams) {
            return known;
        }
        const entry: Entry = { grantedAtMs: [], granted: 0, refused: 0 };
        entries.set(upstream, entry);
        return entry;
    };
    return {
        decide: (upstream, limit, { isHeld, sinceMs }, nowMs) => {
            if (!isHeld || sinceMs === undefined) {
                return "notHolder";
            }
            if (nowMs - sinceMs < grantDelayAfterTermStartMs) {
                return "newTerm";
            }
            const entry = limit === undefined ? undefined : entryOf(upstream);
            if (limit === undefined || entry === undefined) {
                return "unknown";
            }
            dropOld(entry, nowMs);
            if (entry.grantedAtMs.length >= Math.min(limit, maxGrantsInWindow)) {
                entry.refused++;
                return "overLimit";
            }
            entry.granted++;
            entry.grantedAtMs.push(nowMs);
            return "granted";
        },
        takeCounts: nowMs => {
            const counts = [...entries].flatMap(([upstream, { granted, refused }]) =>
                granted + refused > 0 ? [{ upstream, granted, refused }] : []
            );
            entries.forEach(entry => Object.assign(entry, { granted: 0, refused: 0 }));
            dropUnused(nowMs);
            return counts;
        },
    };
}

function dropOld(entry: Entry, nowMs: number): void {
    const firstKept = entry.grantedAtMs.findIndex(atMs => nowMs - atMs < grantWindowMs);
    entry.grantedAtMs.splice(0, firstKept === -1 ? entry.grantedAtMs.length : firstKept);
}
