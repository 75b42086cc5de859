/** Evidence ages until the send, however lately the group was judged on it. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { servesOnFreshEvidence } from "../freshEvidence";

const members = ["a", "b"].map(instance => ({ instance, address: "127.0.0.1:1", bootId: "boot" }));
const maxAgeMs = 1_000;

const cases = [
    { name: "all fresh", sentAtMs: [9_500, 9_100], standing: "serving", expected: true },
    { name: "just fresh", sentAtMs: [9_000, 9_000], standing: "serving", expected: true },
    {
        name: "one member's too old, judged serving before a pause",
        sentAtMs: [9_500, 8_999],
        standing: "serving",
        expected: false,
    },
    { name: "one member's missing", sentAtMs: [9_500], standing: "serving", expected: false },
    { name: "fresh, but not serving", sentAtMs: [9_500, 9_500], standing: "unproved", expected: false },
] as const;

for (const { name, sentAtMs, standing, expected } of cases) {
    test(name, () => {
        const zone = {
            groups: [{ group: "g", members }],
            standings: new Map([["g", { kind: standing, reason: "" }]]),
            evidence: new Map(sentAtMs.map((at, index) => [members[index]!.instance, { sentAtMs: at }])),
        } as unknown as Parameters<typeof servesOnFreshEvidence>[0];
        assert.is(servesOnFreshEvidence(zone, "g", { nowMs: 10_000, maxAgeMs }), expected);
    });
}

test("an unknown group does not serve", () => {
    const nothing = { groups: [], standings: new Map(), evidence: new Map() };
    assert.is(servesOnFreshEvidence(nothing, "g", { nowMs: 0, maxAgeMs }), false);
});

test.run();
