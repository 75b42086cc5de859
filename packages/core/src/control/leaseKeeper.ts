/** Keeps one process's view of its zone's lease: what to ask the table, and what the answers mean. */
import { type Key, leaseKey, LeaseRow, type Stored, type TableOutcome, type Write } from "@rattanquay/schema";
import { initialLease, type LeaseState, mayAct, nextLeaseStep, noteAsked, noteRead, type StoredLease } from "../lease";
import { type Instant } from "./instant";

export type LeaseCommand =
    | { readonly kind: "readLease"; readonly at: Key }
    | { readonly kind: "writeLease"; readonly token: string; readonly writes: readonly Write[] };

export type LeaseKeeper = {
    /** What to ask now; candidates share the zone's calls among `entryCount` processes. */
    readonly commands: (entryCount: number, instant: Instant) => readonly LeaseCommand[];
    readonly noteRead: (outcome: TableOutcome<Stored | undefined>, nowMs: number) => void;
    /** A write without a clear answer is settled by reading the row back. */
    readonly noteWritten: (token: string, outcome: TableOutcome<void>, nowMs: number) => readonly LeaseCommand[];
    readonly mayAct: (nowMs: number) => boolean;
    readonly fence: () => number | undefined;
};

type Options = { readonly holder: string; readonly availabilityZone: string; readonly leaseMs: number };

/** Calls about the lease that the candidates of a zone make together. */
const callsPerSecond = 10;
const shortestReadMs = 250;

export function makeLeaseKeeper({ holder, availabilityZone, leaseMs }: Options): LeaseKeeper {
    const at = leaseKey(availabilityZone);
    let state: LeaseState = initialLease;
    let jitter = 1;

    const ask = (written: StoredLease | undefined, nowMs: number): void => {
        state = noteAsked(state, written, nowMs);
    };

    return {
        commands: (entryCount, { nowMs, random, newToken }) => {
            const readEveryMs = Math.max(shortestReadMs, entryCount / callsPerSecond * 1_000) * jitter;
            const step = nextLeaseStep(state, { holder, leaseMs, nowMs, readEveryMs });
            if (step.kind === "wait") {
                return [];
            }
            jitter = 0.5 + random();
            if (step.kind === "read") {
                ask(undefined, nowMs);
                return [{ kind: "readLease", at }];
            }
            const written = { row: step.row, version: (step.expected?.version ?? 0) + 1, token: newToken() };
            ask(written, nowMs);
            return [{ kind: "writeLease", token: written.token, writes: [leaseWrite(at, written, step.expected)] }];
        },
        noteRead: (outcome, nowMs) => {
            if (outcome.kind === "done") {
                state = noteRead(state, storedLease(outcome.value), nowMs);
            }
        },
        noteWritten: (token, outcome, nowMs) => {
            if (outcome.kind === "done") {
                state = noteRead(state, state.sent.find(sent => sent.token === token), nowMs);
                return [];
            }
            ask(undefined, nowMs);
            return [{ kind: "readLease", at }];
        },
        mayAct: nowMs => mayAct(state, { leaseMs, nowMs }),
        fence: () => state.held?.fence,
    };
}

function leaseWrite(at: Key, written: StoredLease, expected: StoredLease | undefined): Write {
    const { row: body, version, token } = written;
    return {
        kind: "put",
        at,
        row: { version, token, fence: body.fence, body },
        condition: expected === undefined ? { kind: "absent" } : { kind: "versionIs", version: expected.version },
    };
}

function storedLease(stored: Stored | undefined): StoredLease | undefined {
    return stored === undefined
        ? undefined
        : { row: LeaseRow.parse(stored.body), version: stored.version, token: stored.token };
}
