/**
 * Claims on calls that may run at most once, as a state machine: what the table answered goes in, the next step comes out.
 *
 * A claim stands in the table before the first byte goes out, and nobody takes it over: its owner may be frozen, may wake,
 * and may still send, and it alone. So an outcome that was not recorded stays in doubt for good.
 */
import { type ClaimRow, type Condition, type Row, type Stored, type TableOutcome } from "@rattanquay/schema";

/** What one claimant brings along; `token` names its write. */
export type Claimant = {
    readonly token: string;
    readonly requestId: string;
    readonly process: string;
    /** Over the call's method, path and body: a key belongs to one call. */
    readonly digest: string;
};

export type ClaimVerdict =
    /** This claimant, and no other, may send. Its row has this version. */
    | { readonly kind: "granted"; readonly version: number }
    | { readonly kind: "answered"; readonly row: ClaimRow }
    | { readonly kind: "inDoubt" }
    | { readonly kind: "keyReused" }
    /** The table did not say. The claim may stand, or come to stand, in this version; nothing may be sent under it. */
    | { readonly kind: "unavailable"; readonly version: number };

type Attempted = { readonly version: number; readonly condition: Condition; readonly attempts: number };

export type ClaimState =
    | { readonly phase: "reading"; readonly claimant: Claimant }
    | { readonly phase: "writing"; readonly claimant: Claimant; readonly attempted: Attempted }
    | { readonly phase: "readingBack"; readonly claimant: Claimant; readonly attempted: Attempted };

export type ClaimStep =
    | { readonly kind: "read"; readonly state: ClaimState }
    | { readonly kind: "write"; readonly state: ClaimState; readonly row: Row; readonly condition: Condition }
    | { readonly kind: "ended"; readonly verdict: ClaimVerdict };

export type ClaimEvent =
    | { readonly kind: "read"; readonly outcome: TableOutcome<Stored | undefined> }
    | { readonly kind: "written"; readonly outcome: TableOutcome<void> };

const maxWriteAttempts = 2;
const noVersion = 0;

export function startClaim(claimant: Claimant): ClaimStep {
    return { kind: "read", state: { phase: "reading", claimant } };
}

/** The step after `event`, which must be the answer to the step before. */
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
        const standing = judgeStanding(before, claimant);
        if (standing !== undefined) {
            return ended(standing);
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
    /** The answer to the write was lost, or somebody else wrote first: the row and its token say which. */
    readingBack: ({ claimant, attempted }, event) => {
        const unavailable = ended({ kind: "unavailable", version: attempted.version });
        if (event.kind !== "read" || event.outcome.kind !== "done") {
            return unavailable;
        }
        const row = event.outcome.value;
        if (row?.token === claimant.token) {
            return ended({ kind: "granted", version: attempted.version });
        }
        const standing = judgeStanding(row, claimant);
        if (standing !== undefined) {
            return ended(standing);
        }
        return attempted.attempts < maxWriteAttempts && (row?.version ?? noVersion) + 1 === attempted.version
            ? write(claimant, { ...attempted, attempts: attempted.attempts + 1 })
            : unavailable;
    },
};

function ended(verdict: ClaimVerdict): ClaimStep {
    return { kind: "ended", verdict };
}

/** Writes under the claimant's one token: a first write that comes late and this one can only take effect once. */
function write(claimant: Claimant, attempted: Attempted): ClaimStep {
    const { token, requestId, process, digest } = claimant;
    const body: ClaimRow = { requestId, process, digest, state: "claimed" };
    return {
        kind: "write",
        state: { phase: "writing", claimant, attempted },
        row: { version: attempted.version, token, body },
        condition: attempted.condition,
    };
}

/** What the row says to a claimant; nothing when the call is free to be claimed. */
function judgeStanding(row: Stored | undefined, claimant: Claimant): ClaimVerdict | undefined {
    if (row === undefined) {
        return undefined;
    }
    const claim = row.body as ClaimRow;
    if (claim.digest !== claimant.digest) {
        return { kind: "keyReused" };
    }
    return standings[claim.state](claim);
}

const standings: { readonly [S in ClaimRow["state"]]: (row: ClaimRow) => ClaimVerdict | undefined } = {
    claimed: () => ({ kind: "inDoubt" }),
    answered: row => ({ kind: "answered", row }),
    notRun: () => undefined,
};
