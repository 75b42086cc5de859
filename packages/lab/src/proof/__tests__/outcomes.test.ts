/** Every request ends once and truly, under each fault in turn, through separate processes. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { runRound, scenarios, startWorld, type World } from "../index";

const seed = 1;
let world: World;

test.before(async () => {
    world = await startWorld();
});

test.after(() => world.stop());

for (const name of Object.keys(scenarios) as (keyof typeof scenarios)[]) {
    test(`the history under ${name} may stand`, async () => {
        const { violations, history } = await runRound(world, name, seed);
        assert.equal(violations, []);
        assert.ok(history.answers.some(answer => answer.ending === "answered"));
    });
}

test.run();
