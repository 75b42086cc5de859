/** Fuzzes claims against a table that loses answers and applies writes late; at most one claimant may run the call. */
import { type ClaimRow, type Condition, type KeyedRow, type Row, type TableOutcome } from "@rattanquay/schema";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ClaimStep, type ClaimVerdict, continueClaim, startClaim } from "../claim";
import { planSettlement } from "../settlement";

type DelayedWrite = { readonly row: Row; readonly condition: Condition };

/** One row of a table, and the delayed writes to it that have not been applied yet. */
class FlakyRow {
    row: KeyedRow | undefined;
    readonly late: DelayedWrite[] = [];

    write(row: Row, condition: Condition): boolean {
        const holds = condition.kind === "absent"
            ? this.row === undefined
            : condition.kind === "versionIs" && this.row?.version === condition.version;
        this.row = holds ? { partition: "claims", key: "k", ...row } : this.row;
        return holds;
    }
}

const tableFaults = ["answered", "answered", "answered", "lostBefore", "lostAfter", "late"] as const;
type TableFault = typeof tableFaults[number];

const writeHandlers: { readonly [W in TableFault]: (table: FlakyRow, late: DelayedWrite) => TableOutcome<void> } = {
    answered: (table, { row, condition }) =>
        table.write(row, condition) ? { kind: "done", value: undefined } : { kind: "conflict" },
    lostBefore: () => ({ kind: "unavailable", reason: "lost" }),
    lostAfter: (table, { row, condition }) => {
        table.write(row, condition);
        return { kind: "unavailable", reason: "lost" };
    },
    late: (table, late) => {
        table.late.push(late);
        return { kind: "unavailable", reason: "late" };
    },
};

type Ending = "answered" | "notRun" | "dies" | "diesHavingRun";
type Action =
    | { readonly kind: "advance"; readonly claimant: number; readonly fault: TableFault; readonly ending: Ending }
    | { readonly kind: "land"; readonly index: number };

class Claimant {
    step: ClaimStep;
    settled = false;

    constructor(readonly name: string) {
        this.step = startClaim({ token: name, requestId: name, process: name, digest: "same" });
    }
}

/** Applies the actions and returns the claimants whose call ran, which depends on the `ending` of each granted claim. */
function run(actions: readonly Action[]): readonly string[] {
    const table = new FlakyRow();
    const claimants = Array.from({ length: 4 }, (unused, index) => new Claimant(`claimant-${index}`));
    const runs: string[] = [];
    for (const action of actions) {
        if (action.kind === "land") {
            const [late] = table.late.splice(action.index % Math.max(1, table.late.length), 1);
            if (late !== undefined) {
                table.write(late.row, late.condition);
            }
            continue;
        }
        advance(table, claimants[action.claimant]!, action, runs);
    }
    return runs;
}

function advance(
    table: FlakyRow,
    claimant: Claimant,
    { fault, ending }: Extract<Action, { kind: "advance" }>,
    runs: string[],
): void {
    const { step } = claimant;
    if (step.kind === "ended") {
        settle(table, claimant, step.verdict, fault, ending, runs);
        return;
    }
    claimant.step = step.kind === "read"
        ? continueClaim(step.state, {
            kind: "read",
            outcome: fault === "answered" ? { kind: "done", value: table.row } : { kind: "unavailable", reason: "" },
        })
        : continueClaim(step.state, {
            kind: "written",
            outcome: writeHandlers[fault](table, { row: step.row, condition: step.condition }),
        });
}

function settle(
    table: FlakyRow,
    claimant: Claimant,
    verdict: ClaimVerdict,
    fault: TableFault,
    ending: Ending,
    runs: string[],
): void {
    if (claimant.settled || (verdict.kind !== "granted" && verdict.kind !== "unavailable")) {
        return;
    }
    claimant.settled = true;
    const hasRun = verdict.kind === "granted" && (ending === "answered" || ending === "diesHavingRun");
    if (hasRun) {
        runs.push(claimant.name);
    }
    if (ending === "dies" || ending === "diesHavingRun") {
        return;
    }
    const outcome = hasRun
        ? { state: "answered" as const, status: 200, body: claimant.name }
        : { state: "notRun" as const };
    const held = { token: claimant.name, version: verdict.version };
    const planned = planSettlement(table.row, held, outcome, `${claimant.name}/settled`);
    if (planned !== undefined) {
        writeHandlers[fault](table, planned);
    }
}

const action: fc.Arbitrary<Action> = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            claimant: fc.nat(3),
            fault: fc.constantFrom(...tableFaults),
            ending: fc.constantFrom<Ending>("answered", "notRun", "dies", "diesHavingRun"),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("land" as const), index: fc.nat(9) }) },
);

test("at most one of several claimants of a key runs, whichever answers are lost", () => {
    fc.assert(
        fc.property(fc.array(action, { minLength: 4, maxLength: 60 }), actions => {
            const runs = run(actions);
            assert.ok(runs.length <= 1, `ran: ${runs.join(", ")}`);
        }),
        { seed: 11, numRuns: 20_000 },
    );
});

test("some schedules grant a claim, so the property above is not vacuous", () => {
    const granted = fc.sample(fc.array(action, { minLength: 30, maxLength: 60 }), { seed: 3, numRuns: 200 })
        .filter(actions => run(actions).length === 1);
    assert.ok(granted.length > 50, `only ${granted.length} of 200 schedules ran the call`);
});

const step = (claimant: number, fault: TableFault = "answered", ending: Ending = "answered"): Action => ({
    kind: "advance",
    claimant,
    fault,
    ending,
});

test("a claimant whose write never took effect does not release another claim in the same version", () => {
    const lost = [step(0), step(0, "lostBefore"), step(0, "lostBefore")];
    const other = [step(1), step(1), step(1, "answered", "diesHavingRun")];
    assert.equal(run([...lost, ...other, step(0, "answered", "notRun"), step(2), step(2), step(2)]), ["claimant-1"]);
});

const claimed: ClaimRow = { requestId: "r", process: "p", digest: "same", state: "claimed" };
const existingRowCases = [
    { name: "a claimed row", body: claimed, expected: "inDoubt" },
    { name: "an answered row", body: { ...claimed, state: "answered" }, expected: "answered" },
    { name: "another call's row", body: { ...claimed, digest: "other" }, expected: "keyReused" },
    {
        name: "another call's row, not run",
        body: { ...claimed, digest: "other", state: "notRun" },
        expected: "keyReused",
    },
] as const;

for (const { name, body, expected } of existingRowCases) {
    test(`${name} is ${expected}`, () => {
        const first = startClaim({ token: "t", requestId: "r2", process: "p", digest: "same" });
        assert.is(first.kind, "read");
        const value = { partition: "claims", key: "k", version: 3, token: "other", body };
        const step = first.kind === "read"
            ? continueClaim(first.state, { kind: "read", outcome: { kind: "done", value } })
            : undefined;
        assert.is(step?.kind === "ended" ? step.verdict.kind : step?.kind, expected);
    });
}

const answered = { requestId: "r", process: "p", digest: "same", state: "answered", status: 200 };
const oddBodies = [
    ...[0, 1, 99, 101, 199, 600, 999, 200.5, -1, "200", null].map(status => ({ ...answered, status })),
    { ...answered, state: "other" },
    { ...answered, digest: undefined },
    { ...answered, headers: ["a"] },
    { ...answered, headers: { a: 1 } },
    { ...answered, body: 7 },
    null,
    "text",
    [],
];

for (const body of oddBodies) {
    test(`a claim's row that can't be read leaves the call in doubt: ${JSON.stringify(body)}`, () => {
        const step = startClaim({ token: "t", requestId: "r", process: "p", digest: "same" });
        assert.is(step.kind, "read");
        const row = { partition: "claims", key: "k", version: 3, token: "other", body } as unknown as KeyedRow;
        const next = continueClaim((step as Extract<ClaimStep, { readonly kind: "read" }>).state, {
            kind: "read",
            outcome: { kind: "done", value: row },
        });
        assert.equal(next, { kind: "ended", verdict: { kind: "inDoubt" } });
    });
}

test.run();
