/** How much traffic placement sends to other zones, with equal load everywhere and with an overloaded own zone. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseUpstream, type PlacementCandidate, type PlacementPolicy } from "../placement";

const resolution = 1_000_000;
const zones = 5;
const headsPerZone = 18;
const requests = 2_000;
const msPerRequest = 20;

/** The load of each upstream of the own zone and of the others, and by how much it may be higher at some of them. */
type Loads = { readonly local: number; readonly remote: number; readonly spread: number };

function makeRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}

/** The share of requests that go to another zone. */
function remoteShare({ local, remote, spread }: Loads, policy: PlacementPolicy): number {
    const random = makeRandom(11);
    let remoteCount = 0;
    for (let request = 0; request < requests; request++) {
        const candidates = Array.from({ length: zones * headsPerZone }, (unused, index): PlacementCandidate => {
            const isLocal = index < headsPerZone;
            const load = (isLocal ? local : remote) + Math.floor(random() * (spread + 1));
            return { id: `h${index}`, slots: 10, load, isLocal, isConnected: true, isStalled: false };
        });
        const predict = ({ load }: PlacementCandidate): number => load * msPerRequest;
        const chosen = chooseUpstream({ candidates, predict, random }, policy);
        remoteCount += Number(chosen!.id.slice(1)) < headsPerZone ? 0 : 1;
    }
    return remoteCount / requests;
}

const cases: readonly { name: string; loads: Loads; least: number; most: number }[] = [
    { name: "equal load: all stay in the zone", loads: { local: 2, remote: 2, spread: 0 }, least: 0, most: 0 },
    {
        name: "an overloaded zone: nearly all leave it",
        loads: { local: 16, remote: 2, spread: 3 },
        least: 0.95,
        most: 1,
    },
    { name: "an idle zone: all stay in it", loads: { local: 0, remote: 8, spread: 3 }, least: 0, most: 0 },
];

for (const { name, loads, least, most } of cases) {
    test(`requests to other zones; ${name}`, () => {
        const share = remoteShare(loads, "predictedFirstEvent");
        assert.ok(share >= least && share <= most, `share: ${share}`);
    });
}

test("with the same spread of loads in all zones, at most half as many requests leave the zone as with a uniform sample", () => {
    const loads = { local: 2, remote: 2, spread: 3 };
    assert.ok(remoteShare(loads, "predictedFirstEvent") <= remoteShare(loads, "uniformSample") / 2);
});

test("in a zone with few candidates, instances do not all compare the same ones", () => {
    const random = makeRandom(5);
    const chosen = new Set<string>();
    for (let request = 0; request < 200; request++) {
        const candidates = Array.from({ length: 9 }, (unused, index): PlacementCandidate => ({
            id: `h${index}`,
            slots: 10,
            load: index,
            isLocal: index < 3,
            isConnected: true,
            isStalled: false,
        }));
        chosen.add(chooseUpstream({ candidates, predict: ({ load }) => load, random })!.id);
    }
    // The least loaded of the zone's three is known to all; it must not get every request.
    assert.equal([...chosen].sort().slice(0, 3), ["h0", "h1", "h2"]);
});

test.run();
