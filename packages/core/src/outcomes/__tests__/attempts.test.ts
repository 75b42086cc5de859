/** Rows of attempts fuzzed against what truly ran. */
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { afterAttempt, type AttemptEnd, endingOf, mayTryAgain, noAttempts } from "../attempts";

/** What an upstream does with an attempt, and what the entry instance then sees. */
const upstreams = {
    answers: { runs: 1, end: "answered" },
    refusesConnection: { runs: 0, end: "unreached" },
    cutsBeforeRun: { runs: 0, end: "inDoubt" },
    cutsAfterRun: { runs: 1, end: "inDoubt" },
} as const satisfies Record<string, { readonly runs: number; readonly end: AttemptEnd }>;

const given = fc.record({
    isRepeatable: fc.boolean(),
    maxAttempts: fc.integer({ min: 1, max: 4 }),
    budget: fc.nat(4),
    upstreams: fc.array(fc.constantFrom(...Object.keys(upstreams) as (keyof typeof upstreams)[]), { maxLength: 6 }),
});

type Given = typeof given extends fc.Arbitrary<infer T> ? T : never;

/** Makes attempts as long as it may and as there are upstreams left. */
function run(rules: Given) {
    let attempts = noAttempts;
    let last: AttemptEnd | undefined;
    let runs = 0;
    let { budget } = rules;
    for (const name of rules.upstreams) {
        if (last !== undefined && (!mayTryAgain(attempts, last, rules) || budget-- <= 0)) {
            break;
        }
        runs += upstreams[name].runs;
        last = upstreams[name].end;
        attempts = afterAttempt(attempts, last);
    }
    return { runs, last, count: attempts.count, ending: endingOf(attempts, last) };
}

const claims: readonly { readonly name: string; readonly holds: (rules: Given) => boolean }[] = [
    { name: "what may not be repeated runs at most once", holds: rules => rules.isRepeatable || run(rules).runs <= 1 },
    {
        name: "what is told not run has run nowhere",
        holds: rules => run(rules).ending !== "notRun" || run(rules).runs === 0,
    },
    {
        name: "what is answered was answered last",
        holds: rules => (run(rules).ending === "answered") === (run(rules).last === "answered"),
    },
    { name: "attempts stay within their cap", holds: rules => run(rules).count <= rules.maxAttempts },
];

for (const { name, holds } of claims) {
    test(name, () => fc.assert(fc.property(given, holds), { seed: 5, numRuns: 5_000 }));
}

test("a call that nobody took is not run, and a repeatable one that was cut is tried again", () => {
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
