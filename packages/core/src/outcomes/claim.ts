/**
 * Claims on calls that may run at most once, as a state machine: its input is the table's answers, its output the next step.
 *
 * A claim is written to the table before the first byte is sent, and no other process may take it over: its owner may be
 * paused and still send after it resumes, and only the owner may send. An outcome that was not recorded therefore stays in
 * doubt permanently.
 */
import { ClaimRow, type Condition, type KeyedRow, type Row, type TableOutcome } from "@rattanquay/schema";

/** The data of one claimant; `token` identifies its write. */
export type Claimant = {
    readonly token: string;
    readonly requestId: string;
    readonly process: string;
    /** Digest of the call's method, path and body, because an idempotency key belongs to one call. */
    readonly digest: string;
};

export type ClaimVerdict =
    /** Only this claimant may send. Its row has this version. */
    | { readonly kind: "granted"; readonly version: number }
    | { readonly kind: "answered"; readonly row: ClaimRow }
    | { readonly kind: "inDoubt" }
    | { readonly kind: "keyReused" }
    /** The table did not answer. The claim may exist in this version now or later; nothing may be sent under it. */
    | { readonly kind: "unavailable"; readonly version: number };

type AttemptedWrite = { readonly version: number; readonly condition: Condition; readonly attempts: number };

export type ClaimState =
    | { readonly phase: "reading"; readonly claimant: Claimant }
    | { readonly phase: "writing"; readonly claimant: Claimant; readonly attempted: AttemptedWrite }
    | { readonly phase: "readingBack"; readonly claimant: Claimant; readonly attempted: AttemptedWrite };

export type ClaimStep =
    | { readonly kind: "read"; readonly state: ClaimState }
    | { readonly kind: "write"; readonly state: ClaimState; readonly row: Row; readonly condition: Condition }
    | { readonly kind: "ended"; readonly verdict: ClaimVerdict };

export type ClaimEvent =
    | { readonly kind: "read"; readonly outcome: TableOutcome<KeyedRow | undefined> }
    | { readonly kind: "written"; readonly outcome: TableOutcome<void> };

const maxWriteAttempts = 2;
const noVersion = 0;

export function startClaim(claimant: Claimant): ClaimStep {
    return { kind: "read", state: { phase: "reading", claimant } };
}

/** Returns the step after `event`, which must be the result of the previous step. */
export function continueClaim(state: ClaimState, event: ClaimEvent): ClaimStep {
    return (handlers[state.phase] as (state: ClaimState, event: ClaimEvent) => ClaimStep)(state, event);
}

type Phase = ClaimState["phase"];
type StateOf<P extends Phase> = Extract<ClaimState, { readonly phase: P }>;

const handlers: { readonly [P in Phase]: (state: StateOf<P>, event: ClaimEvent) => ClaimStep } = {
    reading: ({ claimant }, event) => {
        if (event.kind !== "read" || event.outcome.kind !== "done") {
            return ended({ kind: "unavailable", version: noVersion });
        }
        const before = event.outcome.value;
        const verdict = verdictFromRow(before, claimant);
        if (verdict !== undefined) {
            return ended(verdict);
        }
        const version = (before?.version ?? noVersion) + 1;
        const condition: Condition = before === undefined
            ? { kind: "absent" }
            : { kind: "versionIs", version: before.version };
        return write(claimant, { version, condition, attempts: 1 });
    },
    writing: ({ claimant, attempted }, event) =>
        event.kind === "written" && event.outcome.kind === "done"
            ? ended({ kind: "granted", version: attempted.version })
            : { kind: "read", state: { phase: "readingBack", claimant, attempted } },
    /** The answer to the write was lost or another claimant wrote first; the row's token shows which. */
    readingBack: ({ claimant, attempted }, event) => {
        const unavailable = ended({ kind: "unavailable", version: attempted.version });
        if (event.kind !== "read" || event.outcome.kind !== "done") {
            return unavailable;
        }
        const row = event.outcome.value;
        if (row?.token === claimant.token) {
            return ended({ kind: "granted", version: attempted.version });
        }
        const verdict = verdictFromRow(row, claimant);
        if (verdict !== undefined) {
            return ended(verdict);
        }
        return attempted.attempts < maxWriteAttempts && (row?.version ?? noVersion) + 1 === attempted.version
            ? write(claimant, { ...attempted, attempts: attempted.attempts + 1 })
            : unavailable;
    },
};

function ended(verdict: ClaimVerdict): ClaimStep {
    return { kind: "ended", verdict };
}

/** Every write has the claimant's token and condition, so a delayed first write and its repeat take effect only once. */
function write(claimant: Claimant, attempted: AttemptedWrite): ClaimStep {
    const { token, requestId, process, digest } = claimant;
    const body: ClaimRow = { requestId, process, digest, state: "claimed" };
    return {
        kind: "write",
        state: { phase: "writing", claimant, attempted },
        row: { version: attempted.version, token, body },
        condition: attempted.condition,
    };
}

/** The verdict that an existing row implies for a claimant; `undefined` if the call can be claimed. */
function verdictFromRow(row: KeyedRow | undefined, claimant: Claimant): ClaimVerdict | undefined {
    if (row === undefined) {
        return undefined;
    }
    const parsed = ClaimRow.safeParse(row.body);
    if (!parsed.success) {
        // It is nobody's to take over, and no answer to give: the call may have run.
        return { kind: "inDoubt" };
    }
    const claim = parsed.data;
    if (claim.digest !== claimant.digest) {
        return { kind: "keyReused" };
    }
    return verdictsByState[claim.state](claim);
}

const verdictsByState: { readonly [S in ClaimRow["state"]]: (row: ClaimRow) => ClaimVerdict | undefined } = {
    claimed: () => ({ kind: "inDoubt" }),
    answered: row => ({ kind: "answered", row }),
    notRun: () => undefined,
};
