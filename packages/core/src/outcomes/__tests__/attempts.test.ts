/** Fuzzes sequences of attempts and compares the reported outcome with what actually ran. */
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type AttemptOutcome, endingOf, mayRetryCall, noAttempts, recordAttempt } from "../attempts";

/** How often an upstream runs an attempt, and what the entry instance observes. */
const upstreams = {
    answers: { runs: 1, end: "answered" },
    refusesConnection: { runs: 0, end: "unreached" },
    cutsBeforeRun: { runs: 0, end: "inDoubt" },
    cutsAfterRun: { runs: 1, end: "inDoubt" },
} as const satisfies Record<string, { readonly runs: number; readonly end: AttemptOutcome }>;

const rulesArbitrary = fc.record({
    isRepeatable: fc.boolean(),
    maxAttempts: fc.integer({ min: 1, max: 4 }),
    budget: fc.nat(4),
    upstreams: fc.array(fc.constantFrom(...Object.keys(upstreams) as (keyof typeof upstreams)[]), { maxLength: 6 }),
});

type GeneratedRules = typeof rulesArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Makes attempts while the rules allow it and there are upstreams left. */
function run(rules: GeneratedRules) {
    let attempts = noAttempts;
    let last: AttemptOutcome | undefined;
    let runs = 0;
    let { budget } = rules;
    for (const name of rules.upstreams) {
        if (last !== undefined && (!mayRetryCall(attempts, last, rules) || budget-- <= 0)) {
            break;
        }
        runs += upstreams[name].runs;
        last = upstreams[name].end;
        attempts = recordAttempt(attempts, last);
    }
    return { runs, last, count: attempts.count, ending: endingOf(attempts, last) };
}

const invariants: readonly { readonly name: string; readonly holds: (rules: GeneratedRules) => boolean }[] = [
    {
        name: "a call that is not repeatable runs at most once",
        holds: rules => rules.isRepeatable || run(rules).runs <= 1,
    },
    {
        name: "a call that is reported as not run has not run",
        holds: rules => run(rules).ending !== "notRun" || run(rules).runs === 0,
    },
    {
        name: "a call is reported as answered only if its last attempt was answered",
        holds: rules => (run(rules).ending === "answered") === (run(rules).last === "answered"),
    },
    { name: "attempts stay within their cap", holds: rules => run(rules).count <= rules.maxAttempts },
];

for (const { name, holds } of invariants) {
    test(name, () => fc.assert(fc.property(rulesArbitrary, holds), { seed: 5, numRuns: 5_000 }));
}

test("a call that reached no upstream is not run, and a repeatable call that was cut off is retried", () => {
    const rules = {
        isRepeatable: true,
        maxAttempts: 4,
        budget: 4,
        upstreams: ["cutsAfterRun", "refusesConnection"],
    } as const;
    assert.equal(run({ ...rules, upstreams: ["refusesConnection"] }).ending, "notRun");
    assert.equal(run({ ...rules, upstreams: [...rules.upstreams] }), {
        runs: 1,
        last: "unreached",
        count: 2,
        ending: "unknown",
    });
});

test.run();
