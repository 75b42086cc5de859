/** Reports and records may arrive in any order, and more than once. */
import { type CrashReport, type Prompt, type QuarantineRecord } from "@rattanquay/schema";
import { assert as check, property, shuffledSubarray } from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeCrashEvidence, makeQuarantineBook, makeRecentlySound } from "../index";

const scope = "drafts/large";
const nowMs = 10_000;

const report = (crash: string, prompts: readonly string[], cleared: readonly string[] = []): CrashReport => ({
    crash,
    scope,
    ageMs: 100,
    prompts: prompts.map(prompt => ({ workspace: "alpha", segments: prompt.split("+") })),
    cleared: [...cleared],
    isRevoked: false,
});

const reports: readonly CrashReport[] = [
    report("i-1", ["s+p", "t"]),
    report("i-1", ["u+p"]),
    report("i-1", [], ["t"]),
    report("i-2", ["s+p"], ["s"]),
    report("i-3", ["x"]),
    { ...report("i-3", ["x"]), isRevoked: true },
];

const record = (overrides: Partial<QuarantineRecord>): QuarantineRecord => ({
    scope,
    segments: ["p"],
    round: 1,
    isLifted: false,
    crashes: ["i-1", "i-2"],
    ageMs: 500,
    lastCrashAgeMs: 400,
    trials: 0,
    nextTrialInMs: 2_500,
    ...overrides,
});

const records: readonly QuarantineRecord[] = [
    record({}),
    record({ trials: 1, nextTrialInMs: 3_000 }),
    record({ trials: 1, crashes: ["i-1", "i-2", "i-7"], nextTrialInMs: 14_000 }),
    record({ isLifted: true, trials: 1 }),
    record({ round: 2, crashes: ["i-8", "i-9"] }),
    record({ round: 2, crashes: ["i-9", "i-10"], trials: 2, nextTrialInMs: 9_000 }),
];

const inAnyOrder = <T>(items: readonly T[]) => shuffledSubarray([...items], { minLength: items.length });
const sorted = (prompts: readonly Prompt[]): readonly string[] =>
    prompts.map(({ segments }) => segments.join("+")).sort();

test("reports of crashes lead to the same evidence in any order", () => {
    check(property(inAnyOrder(reports), inAnyOrder(reports), (first, again) => {
        const evidence = makeCrashEvidence();
        [...first, ...again].forEach(item => evidence.add(item, nowMs));
        const standing = evidence.standing(scope, nowMs);
        assert.equal(
            standing.map(({ crash, prompts }) => [crash, sorted(prompts)]).sort(),
            [["i-1", ["s+p", "u+p"]], ["i-2", ["p"]]],
        );
        return true;
    }));
});

test("records of quarantines lead to the same quarantine in any order", () => {
    check(property(inAnyOrder(records), inAnyOrder(records), (first, again) => {
        const book = makeQuarantineBook();
        [...first, ...again].forEach(item => book.merge(item, nowMs));
        const [entry] = book.active();
        assert.equal(
            { ...entry, crashes: [...entry!.crashes].sort() },
            {
                ...entry,
                round: 2,
                isLifted: false,
                trials: 2,
                nextTrialMs: nowMs + 9_000,
                crashes: ["i-10", "i-8", "i-9"],
            },
        );
        return true;
    }));
});

test("a lifted quarantine stays lifted when an older record of it arrives", () => {
    const book = makeQuarantineBook();
    book.merge(record({}), nowMs);
    book.merge(record({ isLifted: true }), nowMs);
    assert.is(book.merge(record({ crashes: ["i-1", "i-2", "i-3"] }), nowMs), false);
    assert.equal(book.active(), []);
});

test("segments in repeated use are remembered although callers make up many", () => {
    const sound = makeRecentlySound();
    sound.note(scope, "s");
    sound.note(scope, "s");
    for (let made = 0; made < 50_000; made++) {
        sound.note(scope, `made-up-${made}`);
    }
    assert.ok(sound.has(scope, "s"));
    assert.is(sound.has(scope, "made-up-0"), false);
    assert.is(sound.has("drafts/small", "s"), false);
});

test.run();
