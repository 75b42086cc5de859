/** Tracks one process's view of its zone's lease: issues calls to the table and interprets their outcomes. */
import { type KeyedRow, leaseKey, LeaseRow, type RowKey, type TableOutcome, type Write } from "@rattanquay/schema";
import {
    initialLease,
    type LeaseState,
    mayAct,
    nextLeaseStep,
    noteObservedRow,
    noteRequestSent,
    type StoredLease,
} from "../lease";
import { type CallContext } from "./instant";

export type LeaseCommand =
    | { readonly kind: "readLease"; readonly at: RowKey }
    | { readonly kind: "writeLease"; readonly token: string; readonly writes: readonly Write[] };

export type LeaseKeeper = {
    /** The calls to make now; the zone's limit on the call rate is divided among `entryCount` processes. */
    readonly commands: (entryCount: number, callContext: CallContext) => readonly LeaseCommand[];
    readonly noteRead: (outcome: TableOutcome<KeyedRow | undefined>, nowMs: number) => void;
    /** Records the outcome of a write; one that is not known to have succeeded is resolved by reading the row back. */
    readonly noteWritten: (token: string, outcome: TableOutcome<void>, nowMs: number) => readonly LeaseCommand[];
    readonly mayAct: (nowMs: number) => boolean;
    readonly fence: () => number | undefined;
};

type Options = { readonly holder: string; readonly availabilityZone: string; readonly leaseMs: number };

/** Rate of calls about the lease that all candidates of a zone make together. */
const callsPerSecond = 10;
const minReadIntervalMs = 250;

export function makeLeaseKeeper({ holder, availabilityZone, leaseMs }: Options): LeaseKeeper {
    const at = leaseKey(availabilityZone);
    let state: LeaseState = initialLease;
    let jitter = 1;

    const noteRequest = (written: StoredLease | undefined, nowMs: number): void => {
        state = noteRequestSent(state, written, nowMs);
    };

    return {
        commands: (entryCount, { nowMs, random, newToken }) => {
            const readEveryMs = Math.max(minReadIntervalMs, entryCount / callsPerSecond * 1_000) * jitter;
            const step = nextLeaseStep(state, { holder, leaseMs, nowMs, readEveryMs });
            if (step.kind === "wait") {
                return [];
            }
            jitter = 0.5 + random();
            if (step.kind === "read") {
                noteRequest(undefined, nowMs);
                return [{ kind: "readLease", at }];
            }
            const written = { row: step.row, version: (step.expected?.version ?? 0) + 1, token: newToken() };
            noteRequest(written, nowMs);
            return [{ kind: "writeLease", token: written.token, writes: [leaseWrite(at, written, step.expected)] }];
        },
        noteRead: (outcome, nowMs) => {
            if (outcome.kind === "done") {
                state = noteObservedRow(state, storedLease(outcome.value), nowMs);
            }
        },
        noteWritten: (token, outcome, nowMs) => {
            if (outcome.kind === "done") {
                state = noteObservedRow(state, state.recentWrites.find(sent => sent.token === token), nowMs);
                return [];
            }
            noteRequest(undefined, nowMs);
            return [{ kind: "readLease", at }];
        },
        mayAct: nowMs => mayAct(state, { leaseMs, nowMs }),
        fence: () => state.held?.fence,
    };
}

function leaseWrite(at: RowKey, written: StoredLease, expected: StoredLease | undefined): Write {
    const { row: body, version, token } = written;
    return {
        kind: "put",
        at,
        row: { version, token, fence: body.fence, body },
        condition: expected === undefined ? { kind: "absent" } : { kind: "versionIs", version: expected.version },
    };
}

function storedLease(stored: KeyedRow | undefined): StoredLease | undefined {
    return stored === undefined
        ? undefined
        : { row: LeaseRow.parse(stored.body), version: stored.version, token: stored.token };
}
