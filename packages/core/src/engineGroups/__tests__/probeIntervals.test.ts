/** Which instances are probed seldom because their group's output proves that they work. */
import { type MembershipState, type UpstreamRecord } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { probeIntervals } from "../probeIntervals";

const nowMs = 10_000;

function member(id: string, group: string | undefined, rank: number, state: MembershipState): UpstreamRecord {
    return {
        id,
        service: "models",
        address: "10.0.0.1:80",
        availabilityZone: "a",
        slots: 10,
        isDraining: false,
        bornAtMs: 1,
        stagedModels: [],
        loadedModels: [],
        membership: group === undefined ? undefined : { group, epoch: 1, rank, state },
    };
}

const records = [
    member("head1", "g1", 0, "open"),
    member("member1", "g1", 1, "ready"),
    member("head2", "g2", 0, "open"),
    member("member2", "g2", 1, "ready"),
    member("joining", "g3", 0, "joining"),
    member("free", undefined, 0, "ready"),
];

const cases: readonly { name: string; progressAgeMs: Readonly<Record<string, number>>; seldom: readonly string[] }[] = [
    { name: "no output from anywhere", progressAgeMs: {}, seldom: [] },
    { name: "output of one group", progressAgeMs: { head1: 200 }, seldom: ["head1", "member1"] },
    { name: "output that is too old", progressAgeMs: { head1: 900 }, seldom: [] },
    { name: "output of a group that is not open any more", progressAgeMs: { joining: 100 }, seldom: [] },
    { name: "output of an instance that is no head", progressAgeMs: { member2: 100, free: 100 }, seldom: [] },
    {
        name: "output of all groups",
        progressAgeMs: { head1: 0, head2: 0 },
        seldom: ["head1", "member1", "head2", "member2"],
    },
];

for (const { name, progressAgeMs, seldom } of cases) {
    test(`probe intervals: ${name}`, () => {
        const intervals = probeIntervals(records, {
            nowMs,
            progressAtMs: id => nowMs - (progressAgeMs[id] ?? Infinity),
            hasTraffic: true,
        });
        const usualMs = intervals.get("free")!;
        assert.equal(records.filter(({ id }) => intervals.get(id)! > usualMs).map(({ id }) => id), seldom);
    });
}

test("a member without output is probed within the usual interval as soon as the output is too old", () => {
    const intervalAfter = (ageMs: number): number =>
        probeIntervals(records, { nowMs, progressAtMs: () => nowMs - ageMs, hasTraffic: true }).get("member1")!;
    assert.ok(intervalAfter(0) > intervalAfter(800));
});

test("before the first request all instances are probed seldom", () => {
    const intervals = (hasTraffic: boolean) =>
        probeIntervals(records, { nowMs, progressAtMs: () => -Infinity, hasTraffic });
    assert.ok([...intervals(false)].every(([id, everyMs]) => everyMs > intervals(true).get(id)!));
});

test.run();
