/** Tests which groups the planner forms, and its invariants, against simulated engine instances in virtual time. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { profile } from "./fakeEngines";
import { makeStartedFleet, memberOf, tickMs } from "./fleet";

const formationCases = [
    { name: "one domain", domains: 1, perDomain: 10, instances: 10 },
    { name: "six domains", domains: 6, perDomain: 10, instances: 60 },
    { name: "domains too small for the large model", domains: 4, perDomain: 3, instances: 8 },
];

for (const { name, domains, perDomain, instances } of formationCases) {
    test(`all instances that fit into groups serve before the first request: ${name}`, () => {
        const fleet = makeStartedFleet(domains, perDomain);
        const servingInstances = fleet.engines.serving("large") * 4 + fleet.engines.serving("small") * 2;
        assert.is(servingInstances, instances);
        assert.equal(fleet.engines.violations, []);
    });
}

test("instances are divided between the models by their declared shares", () => {
    const fleet = makeStartedFleet(6, 10);
    const large = fleet.engines.serving("large") * 4;
    assert.ok(large >= 24 && large <= 36, `${large} of 60 instances serve the large model`);
});

test("weight loads stay within the weight store's rate limit once requests arrive", () => {
    const fleet = makeStartedFleet(2, 10);
    const beforeMs = fleet.engines.nowMs;
    for (let index = 0; index < 60; index++) {
        fleet.engines.add(`n${index}`, `d${index % 6 + 2}`);
    }
    fleet.run(60_000);
    const loads = fleet.engines.loadsAtMs.filter(atMs => atMs > beforeMs);
    const mostLoads = Math.max(
        ...loads.map(atMs => loads.filter(other => other >= atMs && other < atMs + 5_000).length),
    );
    assert.ok(mostLoads <= profile.loadsPerSecond * 5 * 1.1 + 3, `${mostLoads} loads in a window`);
    assert.ok(loads.length >= 60_000 / 16_000 * profile.loadsAtOnce, `${loads.length} loads in all`);
});

test("a new lease holder continues the weight loads of the previous one", () => {
    const fleet = makeStartedFleet(2, 10);
    const { nowMs } = fleet.engines;
    for (let index = 0; index < 20; index++) {
        fleet.engines.add(`n${index}`, `d${index % 2 + 2}`);
    }
    for (let change = 0; change < 4; change++) {
        fleet.run(2_000);
        fleet.changeHolder();
    }
    fleet.run(2_000);
    const startedLoads = fleet.engines.loadsAtMs.filter(atMs => atMs > nowMs);
    assert.is(startedLoads.length, profile.loadsAtOnce);
    fleet.run(40_000);
    const staged = [...fleet.engines.records().values()].filter(({ stagedModels }) => stagedModels.length > 0);
    assert.is(staged.length, 40);
});

test("a group whose head has left is dissolved, and the head is not ordered to join it again", () => {
    const fleet = makeStartedFleet(6, 10);
    for (let round = 0; round < 8; round++) {
        fleet.engines.makeUnreachable(memberOf(fleet, "large", 1));
        fleet.run(4_000);
    }
    const left = new Set<string>();
    const joinsAfterLeave: string[] = [];
    for (const order of fleet.sentOrders) {
        if (order.kind === "leave") {
            left.add(order.group);
        }
        if (order.kind === "join" && left.has(order.group)) {
            joinsAfterLeave.push(order.group);
        }
    }
    assert.ok(left.size > 0);
    assert.equal(joinsAfterLeave, []);
    // The rows of the groups that were left last may not have been removed yet.
    fleet.run(1_000);
    const kept = [...fleet.rows.values()].filter(({ group, members }) => {
        const head = fleet.engines.records().get(members[0]!.id);
        return left.has(group) && head !== undefined && head.membership?.group !== group;
    });
    assert.equal(kept.map(({ group }) => group), []);
});

/** Random deaths, restarts, partitions, lost and late orders, and changes of the lease holder, with fixed seeds. */
for (let seed = 1; seed <= 30; seed++) {
    test(`no group is opened incomplete and no member is taken from a serving group, seed ${seed}`, () => {
        const generator = xoroshiro128plus(seed);
        const draw = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
        const fleet = makeStartedFleet(3, 10);
        const unreachable = new Set<string>();
        fleet.deliveryFault = () => ["lost", "late"][draw(16)] as "lost" | "late" | undefined ?? "no";
        const events = [
            () => fleet.changeHolder(),
            (id: string) => {
                fleet.engines.makeUnreachable(id);
                unreachable.add(id);
            },
            (id: string) => unreachable.has(id) || fleet.engines.restart(id),
            () => {
                const [id] = unreachable;
                if (id !== undefined) {
                    fleet.engines.restart(id);
                    unreachable.delete(id);
                }
            },
            (id: string) => {
                if (!unreachable.has(id)) {
                    fleet.engines.cut(id, true);
                    fleet.run(tickMs * draw(100));
                    fleet.engines.cut(id, false);
                }
            },
        ] as const;
        for (let step = 0; step < 60; step++) {
            const ids = fleet.engines.ids();
            events[draw(events.length)]!(ids[draw(ids.length)]!);
            fleet.run(tickMs * draw(40));
        }
        assert.equal(fleet.engines.violations, []);
    });
}

test.run();
