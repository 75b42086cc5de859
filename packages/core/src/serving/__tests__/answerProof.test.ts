/** Tables of what an upstream's answer proves, and of the requests that need a connection of their own. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type AnswerFacts, type AnswerProof, proofOfAnswer, requiresNewConnection, type SendFacts } from "../index";

type ProofCase = readonly [
    requestId: string | undefined,
    answerId: string | undefined,
    first: AnswerProof,
    kept: AnswerProof,
];

const refusals: readonly ProofCase[] = [
    ["own", "own", "notRun", "notRun"],
    ["own", "earlier", "nothing", "nothing"],
    ["own", undefined, "notRun", "nothing"],
    [undefined, undefined, "notRun", "nothing"],
    [undefined, "earlier", "nothing", "nothing"],
];
const others: readonly ProofCase[] = [
    ["own", "own", "answered", "answered"],
    ["own", "earlier", "nothing", "nothing"],
    ["own", undefined, "nothing", "nothing"],
    [undefined, undefined, "answered", "nothing"],
    [undefined, "earlier", "nothing", "nothing"],
];

for (const { isNotRun, cases } of [{ isNotRun: true, cases: refusals }, { isNotRun: false, cases: others }]) {
    for (const [requestId, answerId, first, kept] of cases) {
        const facts = { requestId, answerId, isNotRun };
        const given: readonly (readonly [AnswerFacts, AnswerProof])[] = [
            [{ ...facts, earlierRequests: 0 }, first],
            [{ ...facts, earlierRequests: 1 }, kept],
            [{ ...facts, earlierRequests: 40 }, kept],
        ];
        for (const [answer, expected] of given) {
            test(`REFUSED: what is taken as proof: ${JSON.stringify(answer)}`, () => {
                assert.is(proofOfAnswer(answer), expected);
            });
        }
    }
}

const sends: readonly (readonly [SendFacts, boolean])[] = [
    [{ requestId: "own", isRepeatable: false, refusesWithoutId: false }, false],
    [{ requestId: "own", isRepeatable: false, refusesWithoutId: true }, true],
    [{ requestId: "own", isRepeatable: true, refusesWithoutId: true }, false],
    [{ requestId: undefined, isRepeatable: true, refusesWithoutId: false }, true],
];

for (const [send, expected] of sends) {
    test(`REFUSED: a true refusal proves nothing for want of a new connection: ${JSON.stringify(send)}`, () => {
        assert.is(requiresNewConnection(send), expected);
    });
}

test.run();
