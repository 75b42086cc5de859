/** Applies random faults to a zone in virtual time and checks the invariants of its control, and that it recovers. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { applyFault, clearFaults, FakeZone, type ZoneFault, zoneFaultNames } from "..";

const runs = Number(process.env.FUZZ_RUNS ?? 40);
const seed = Number(process.env.FUZZ_SEED ?? 5);
const settleMs = 60_000;

const fault: fc.Arbitrary<ZoneFault> = fc.record({
    kind: fc.constantFrom(...zoneFaultNames),
    target: fc.nat({ max: 23 }),
    durationMs: fc.integer({ min: 200, max: 9_000 }),
});
const step = fc.record({ fault, waitMs: fc.integer({ min: 0, max: 3_000 }) });

const zones = [
    { name: "with spare instances", replicas: 3, groupSize: 4, fencingShare: 0.5 },
    { name: "without spare instances", replicas: 6, groupSize: 4, fencingShare: 0.5 },
    { name: "groups of two, engines that ignore fencing", replicas: 8, groupSize: 2, fencingShare: 0 },
];

/** How many replicas can serve: the whole groups that each fabric domain's usable instances form, up to the target. */
function possibleReplicas(zone: FakeZone): number {
    const leaving = new Set(zone.instancesInState("leaving"));
    const recalled = [...zone.snapshot.recalls.values()].flatMap(recall =>
        recall.kind === "instances" ? recall.instances : []
    );
    const usable = [...zone.engines.values()].filter(engine =>
        engine.alive && !leaving.has(engine.instance) && !recalled.includes(engine.instance)
    );
    const domains = new Set(usable.map(engine => engine.options.fabricDomain));
    const replicasPerDomain = [...domains].map(domain =>
        Math.floor(usable.filter(engine => engine.options.fabricDomain === domain).length / zone.spec.groupSize)
    );
    return Math.min(zone.spec.replicas, replicasPerDomain.reduce((sum, count) => sum + count, 0));
}

for (const { name, ...shape } of zones) {
    test(`invariants hold under faults, and every replica that can serve does after recovery: ${name}`, () => {
        fc.assert(
            fc.property(fc.nat(), fc.array(step, { minLength: 3, maxLength: 14 }), (zoneSeed, steps) => {
                const zone = new FakeZone({
                    ...shape,
                    seed: zoneSeed,
                    controllers: 3,
                    domains: 3,
                    instancesPerDomain: 8,
                    loadMs: 400,
                    weightsMs: 20,
                    listLagMs: 2_000,
                });
                zone.timer.advance(5_000);
                for (const { fault: next, waitMs } of steps) {
                    applyFault(zone, next);
                    zone.timer.advance(waitMs);
                    assert.equal(zone.violations, []);
                }
                zone.timer.advance(10_000);
                clearFaults(zone);
                zone.timer.advance(settleMs);
                assert.equal(zone.violations, []);
                assert.is(zone.servingGroups().length, possibleReplicas(zone));
            }),
            { seed, numRuns: runs, endOnFailure: process.env.FUZZ_SHRINK === undefined },
        );
    });
}

test("a write by the old lease holder that arrives after a takeover is refused, whenever it arrives", () => {
    for (let delayMs = 3_000; delayMs <= 9_000; delayMs += 125) {
        const zone = new FakeZone({
            ...zones[0]!,
            seed: delayMs,
            controllers: 2,
            domains: 1,
            instancesPerDomain: 9,
            replicas: 2,
            loadMs: 400,
            weightsMs: 20,
            listLagMs: 2_000,
        });
        zone.timer.advance(5_000);
        zone.nextChangeDelayMs = delayMs;
        [...zone.engines.values()].slice(0, 1).forEach(engine => engine.kill());
        while (zone.nextChangeDelayMs > 0) {
            zone.timer.advance(50);
        }
        zone.controllers.find(controller => controller.mayAct())?.pause(20_000);
        zone.timer.advance(15_000);
        assert.equal(zone.violations, [], `delayed by ${delayMs} ms`);
        assert.is(zone.servingGroups().length, 2);
    }
});

test.run();
