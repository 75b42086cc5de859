/** What becomes of groups that have a member without recent evidence, in a zone without free instances. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeZone } from "..";

const spec = {
    seed: 4,
    replicas: 4,
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
    { name: "instances that answer nothing for three seconds keep their groups", pausedMs: 3_000, kept: 4 },
    {
        name: "instances that stay silent are dropped, and the remaining members of one group complete another",
        pausedMs: 20_000,
        kept: 2,
    },
];

for (const { name, pausedMs, kept } of cases) {
    test(name, () => {
        const zone = new FakeZone({ ...spec });
        zone.timer.advance(8_000);
        const before = zone.servingGroups().map(group => group.group);
        const [first] = zone.servingGroups();
        const inOneDomain = zone.servingGroups().filter(group => group.fabricDomain === first!.fabricDomain);
        const silent = inOneDomain.map(group => zone.engines.get(group.members[1]!.instance)!);
        silent.forEach(engine => {
            engine.paused = true;
        });
        zone.timer.advance(pausedMs);
        silent.forEach(engine => {
            engine.paused = false;
        });
        zone.timer.advance(4_000);
        const after = zone.servingGroups().map(group => group.group);
        assert.is(before.filter(group => after.includes(group)).length, kept);
        assert.equal(zone.violations, []);
    });
}

test.run();
