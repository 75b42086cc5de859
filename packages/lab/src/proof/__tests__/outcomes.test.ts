/** Runs each fault scenario on a cluster of separate processes: every request has exactly one outcome, a true one. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { runRound, scenarios, startTestbed, type Testbed } from "../index";

const seed = 1;
let testbed: Testbed;

test.before(async () => {
    testbed = await startTestbed();
});

test.after(() => testbed.stop());

for (const name of Object.keys(scenarios) as (keyof typeof scenarios)[]) {
    test(`the history under ${name} is valid`, async () => {
        const { violations, history } = await runRound(testbed, name, seed);
        assert.equal(violations, []);
        assert.ok(history.answers.some(answer => answer.ending === "answered"));
    });
}

test.run();
