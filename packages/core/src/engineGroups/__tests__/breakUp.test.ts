/**
 * Heads that are cut off while they serve: silence never frees their members, however long the cut lasts. The simulated engines
 * record a violation when a member joins another group while its head is open, or stands still and is not broken yet.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { stallMs } from "./fakeEngines";
import { type Fleet, makeStartedFleet, memberOf, tickMs } from "./fleet";

/** Time in which a silent head is noticed, its other members leave, and they form new groups. */
const repairMs = 4_000;

const headsOf = (fleet: Fleet, count: number): readonly string[] =>
    [...fleet.rows.values()].slice(0, count).map(({ members }) => members[0]!.id);

function makeCutFleet(heads: readonly string[], fleet: Fleet): void {
    fleet.partitionsIsolateFully = true;
    heads.forEach(id => fleet.engines.cut(id, true));
}

for (const count of [1, 3, 7]) {
    for (const cutMs of [3_000, 6_000, 10_000, 14_000, 40_000]) {
        test(`TWO: members of ${count} heads that are cut off for ${cutMs} ms join no group while these are open`, () => {
            const fleet = makeStartedFleet(6, 10);
            const heads = headsOf(fleet, count);
            makeCutFleet(heads, fleet);
            fleet.run(cutMs);
            heads.forEach(id => fleet.engines.cut(id, false));
            fleet.run(10_000);
            assert.equal(fleet.engines.violations, []);
        });
    }
}

for (const model of ["large", "small"]) {
    test(`the other members of a ${model} group whose head stays cut off serve again`, () => {
        const fleet = makeStartedFleet(3, 10);
        const before = fleet.engines.ids().filter(id => fleet.engines.isServing(id)).length;
        makeCutFleet([memberOf(fleet, model, 0)], fleet);
        fleet.run(stallMs + repairMs);
        const after = fleet.engines.ids().filter(id => fleet.engines.isServing(id)).length;
        assert.ok(before - after <= 2, `${before} instances served, now ${after}`);
        assert.equal(fleet.engines.violations, []);
    });
}

test("TWO: a new lease holder goes on with a break-up, and frees no member sooner", () => {
    const fleet = makeStartedFleet(2, 10);
    const head = memberOf(fleet, "large", 0);
    const { group } = [...fleet.rows.values()].find(({ members }) => members[0]!.id === head)!;
    makeCutFleet([head], fleet);
    for (let change = 0; change < 8; change++) {
        fleet.run(2_500);
        fleet.changeHolder();
    }
    assert.not(fleet.rows.has(group));
    assert.equal(fleet.engines.violations, []);
});

test("TWO: a head that returns in a break-up is told to leave, and its group is not put together again", () => {
    const fleet = makeStartedFleet(1, 4);
    const head = memberOf(fleet, "small", 0);
    const { group } = [...fleet.rows.values()].find(({ members }) => members[0]!.id === head)!;
    makeCutFleet([head], fleet);
    const isStalled = (): boolean =>
        [...fleet.rows.values()].some(({ stalledSinceMs }) => stalledSinceMs !== undefined);
    for (let waitedMs = 0; waitedMs < repairMs && !isStalled(); waitedMs += tickMs) {
        fleet.run(tickMs);
    }
    assert.ok(isStalled());
    fleet.engines.cut(head, false);
    const sent = fleet.sentOrders.length;
    fleet.run(5_000);
    assert.not(fleet.rows.has(group));
    const joins = fleet.sentOrders.slice(sent).filter(order => order.kind === "join" && order.group === group);
    assert.equal(joins, []);
    assert.is(fleet.engines.serving("small") * 2 + fleet.engines.serving("large") * 4, 4);
    assert.equal(fleet.engines.violations, []);
});

test("members that have left while nobody recorded it are freed all the same", () => {
    const fleet = makeStartedFleet(1, 2);
    const [head, member] = [memberOf(fleet, "small", 0), memberOf(fleet, "small", 1)];
    const [row] = [...fleet.rows.values()];
    makeCutFleet([head], fleet);
    fleet.run(2_000);
    fleet.engines.order(member, { kind: "leave", group: row!.group, epoch: row!.epoch });
    fleet.rows.set(row!.group, row!);
    fleet.changeHolder();
    fleet.run(stallMs * 4 + repairMs);
    assert.is(fleet.rows.size, 0);
    assert.equal(fleet.engines.violations, []);
});

/** Cuts of any length, deaths, restarts, lost and late orders, changes of the holder, one after the other and at once. */
for (let seed = 1; seed <= 40; seed++) {
    test(`TWO: cuts of any length beside other faults take no member from a serving group, seed ${seed}`, () => {
        const generator = xoroshiro128plus(seed);
        const draw = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
        const fleet = makeStartedFleet(3, 10);
        fleet.partitionsIsolateFully = draw(2) === 0;
        fleet.deliveryFault = () => ["lost", "late"][draw(16)] as "lost" | "late" | undefined ?? "no";
        const cutUntilMs = new Map<string, number>();
        const dead = new Set<string>();
        const events = [
            () => fleet.changeHolder(),
            (id: string) => {
                fleet.engines.cut(id, true);
                cutUntilMs.set(id, fleet.engines.nowMs + draw(30_000));
            },
            (id: string) => {
                fleet.engines.makeUnreachable(id);
                dead.add(id);
            },
            () => {
                const [id] = dead;
                if (id !== undefined) {
                    fleet.engines.restart(id);
                    dead.delete(id);
                }
            },
        ] as const;
        for (let step = 0; step < 80; step++) {
            const heads = [...fleet.rows.values()].map(({ members }) => members[0]!.id);
            const ids = draw(2) === 0 && heads.length > 0 ? heads : fleet.engines.ids();
            const id = ids[draw(ids.length)]!;
            if (!dead.has(id) && !cutUntilMs.has(id)) {
                events[draw(events.length)]!(id);
            }
            fleet.run(tickMs * draw(40));
            cutUntilMs.forEach((untilMs, cutId) => {
                if (fleet.engines.nowMs > untilMs) {
                    cutUntilMs.delete(cutId);
                    fleet.engines.cut(cutId, false);
                }
            });
        }
        assert.equal(fleet.engines.violations, []);
    });
}

test.run();
