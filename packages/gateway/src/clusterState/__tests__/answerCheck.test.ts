/** Guards against a read that lags behind and yet counts as proof that nothing newer exists. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeAnswerCheck } from "../answerCheck";

const cases: readonly { name: string; revisions: readonly number[]; upToDate: readonly number[] }[] = [
    { name: "each answer at an unchanged revision", revisions: [7, 7, 7], upToDate: [0, 1, 2] },
    { name: "answers at rising revisions", revisions: [7, 8, 9], upToDate: [0, 1, 2] },
    { name: "no answer behind an earlier one", revisions: [7, 9, 8, 7, 9], upToDate: [0, 1, 4] },
];

for (const { name, revisions, upToDate } of cases) {
    test(`CONFIG: up to date is ${name}`, () => {
        const askedAtMs: number[] = [];
        const check = makeAnswerCheck(atMs => askedAtMs.push(atMs));
        revisions.forEach((storeRevision, index) => check({ sentAtMs: index, storeNowMs: 0, storeRevision }));
        assert.equal(askedAtMs, upToDate);
    });
}

test.run();
