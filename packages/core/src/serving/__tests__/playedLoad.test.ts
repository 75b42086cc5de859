/** What callers get under played loads: the policies of placing against each other, and what processes gain by telling. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { placingPolicies, type PlacingPolicy } from "../index";
import { type Outcome, type PlayedLoad, playLoad } from "./playedLoad";

const seeds = [1, 2, 3, 4, 5];
/** Near what the groups can do. */
const perSecond = 80;

function playAll(load: Omit<PlayedLoad, "seed">): Outcome {
    const outcomes = seeds.map(seed => playLoad({ ...load, seed }));
    const sum = (key: keyof Outcome): number => outcomes.reduce((total, outcome) => total + outcome[key], 0);
    return { requests: sum("requests"), inTime: sum("inTime"), wronglyGivenUp: sum("wronglyGivenUp") };
}

const shareInTime = (policy: PlacingPolicy): number => {
    const { inTime, requests } = playAll({ policy, tellsPeers: true, perSecond, dying: 0 });
    return inTime / requests;
};

const chosen = "predictedFirstEvent";
const baselines = (Object.keys(placingPolicies) as PlacingPolicy[]).filter(policy => policy !== chosen);

for (const baseline of baselines) {
    test(`no fewer first events are in time by ${chosen} than by ${baseline}`, () => {
        const [share, other] = [shareInTime(chosen), shareInTime(baseline)];
        assert.ok(share >= other, `${share.toFixed(3)} against ${other.toFixed(3)}`);
    });
}

const dying = 2;

test("no send is given up at a group that moves, while processes tell each other which do", () => {
    assert.is(playAll({ policy: chosen, tellsPeers: true, perSecond, dying }).wronglyGivenUp, 0);
});

test("a process that hears nothing of others takes busy groups for dead ones", () => {
    assert.ok(playAll({ policy: chosen, tellsPeers: false, perSecond, dying }).wronglyGivenUp > 0);
});

test.run();
