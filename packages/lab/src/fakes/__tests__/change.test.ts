/** A rollout of another version, adapter, group size or replica count keeps the floor of serving replicas. */
import { isCurrent, rolloutPolicies } from "@rattanquay/core";
import { type ModelService } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { fakeService, FakeZone, fakeZoneName, neverReadyVersion } from "..";

const spec = {
    seed: 3,
    controllers: 3,
    domains: 2,
    instancesPerDomain: 8,
    groupSize: 4,
    loadMs: 800,
    weightsMs: 50,
    fencingShare: 0.5,
    listLagMs: 1_000,
};

const cases = [
    { name: "a new version, with spare instances", replicas: 3, change: { version: "v2" }, floor: 3, changed: 3 },
    { name: "a new version, without spare instances", replicas: 4, change: { version: "v2" }, floor: 3, changed: 4 },
    { name: "a new adapter, without spare instances", replicas: 4, change: { adapter: "night" }, floor: 3, changed: 4 },
    { name: "smaller groups, without spare instances", replicas: 4, change: { groupSize: 2 }, floor: 3, changed: 4 },
    {
        name: "a new version with fewer replicas",
        replicas: 4,
        change: { version: "v2", replicas: 2 },
        floor: 2,
        changed: 2,
    },
    {
        name: "a version that never gets ready, with spare instances",
        replicas: 3,
        change: { version: neverReadyVersion },
        floor: 3,
        changed: 0,
    },
    {
        name: "a version that never gets ready, without spare instances",
        replicas: 4,
        change: { version: neverReadyVersion },
        floor: 3,
        changed: 0,
    },
];

const toServiceChange = (
    { replicas, ...rest }: (typeof cases)[number]["change"] & { replicas?: number },
): Partial<ModelService> => replicas === undefined ? rest : { ...rest, replicas: { [fakeZoneName]: replicas } };

for (const { name, replicas, change: declared, floor, changed } of cases) {
    test(`serving replicas stay at or above the floor during a change to ${name}`, () => {
        const zone = new FakeZone({ ...spec, replicas });
        zone.timer.advance(8_000);
        assert.is(zone.servingGroups().length, replicas);
        zone.declare(toServiceChange(declared));
        let least = replicas;
        for (let step = 0; step < 800; step++) {
            zone.timer.advance(100);
            least = Math.min(least, zone.servingGroups().length);
        }
        const service = zone.snapshot.services.get(fakeService) as ModelService;
        assert.equal(zone.violations, []);
        assert.ok(least >= floor, `${least} served, the floor is ${floor}`);
        assert.is(zone.servingGroups().filter(group => isCurrent(group, service)).length, changed);
    });
}

test("the toFloor policy lets serving replicas fall to the declared floor, and not below", () => {
    const zone = new FakeZone({ ...spec, replicas: 4, policies: { rollout: rolloutPolicies.toFloor } });
    zone.timer.advance(8_000);
    zone.declare({ version: "v2" });
    let least = 4;
    for (let step = 0; step < 400; step++) {
        zone.timer.advance(100);
        least = Math.min(least, zone.servingGroups().length);
    }
    assert.is(least, 2);
});

test.run();
