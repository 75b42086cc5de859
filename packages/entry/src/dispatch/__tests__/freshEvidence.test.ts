/** Evidence must be fresh at the time of the request, no matter how recently the group was judged. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { servesOnFreshEvidence } from "../freshEvidence";

const members = ["a", "b"].map(instance => ({ instance, address: "127.0.0.1:1", bootId: "boot" }));
const maxAgeMs = 1_000;

const cases = [
    { name: "every member's evidence is fresh", sentAtMs: [9_500, 9_100], standing: "serving", expected: true },
    {
        name: "every member's evidence is exactly at the age limit",
        sentAtMs: [9_000, 9_000],
        standing: "serving",
        expected: true,
    },
    {
        name: "one member's evidence is too old, although the group was judged serving",
        sentAtMs: [9_500, 8_999],
        standing: "serving",
        expected: false,
    },
    { name: "one member's evidence is missing", sentAtMs: [9_500], standing: "serving", expected: false },
    {
        name: "the evidence is fresh, but the group is not serving",
        sentAtMs: [9_500, 9_500],
        standing: "unproved",
        expected: false,
    },
] as const;

for (const { name, sentAtMs, standing, expected } of cases) {
    test(name, () => {
        const zone = {
            groups: [{ group: "g", members }],
            groupStatuses: new Map([["g", { kind: standing, reason: "" }]]),
            evidence: new Map(sentAtMs.map((at, index) => [members[index]!.instance, { sentAtMs: at }])),
        } as unknown as Parameters<typeof servesOnFreshEvidence>[0];
        assert.is(servesOnFreshEvidence(zone, "g", { nowMs: 10_000, maxAgeMs }), expected);
    });
}

test("an unknown group is not serving", () => {
    const nothing = { groups: [], groupStatuses: new Map(), evidence: new Map() };
    assert.is(servesOnFreshEvidence(nothing, "g", { nowMs: 0, maxAgeMs }), false);
});

test.run();
