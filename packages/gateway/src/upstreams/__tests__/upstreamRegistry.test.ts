import { type UpstreamRecord } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeClusterState } from "../../clusterState";
import { makeGatewayMetrics } from "../../metrics";
import { makeUpstreamRegistry } from "../upstreamRegistry";

const record = (overrides: Partial<UpstreamRecord>): UpstreamRecord => ({
    id: "i-1",
    service: "drafts",
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 4,
    isDraining: false,
    bornAtMs: 1,
    loadedModels: [],
    stagedModels: [],
    ...overrides,
});
const membership = { group: "g1", epoch: 1, rank: 0, state: "open" } as const;

const cases: readonly { name: string; changes: Partial<UpstreamRecord> | undefined; expected: boolean }[] = [
    { name: "a plain upstream", changes: {}, expected: true },
    { name: "the head of an open group", changes: { membership }, expected: true },
    { name: "one that drains", changes: { isDraining: true }, expected: false },
    {
        name: "the head of a group that closes",
        changes: { membership: { ...membership, state: "closing" } },
        expected: false,
    },
    {
        name: "the head of a group that has lost a member",
        changes: { membership: { ...membership, state: "broken" } },
        expected: false,
    },
    { name: "one that is not listed", changes: undefined, expected: false },
];

for (const { name, changes, expected } of cases) {
    test(`whether an upstream is expected to serve: ${name}`, () => {
        const clusterState = makeClusterState(silentLog, makeGatewayMetrics());
        const registry = makeUpstreamRegistry(clusterState);
        if (changes !== undefined) {
            clusterState.applyRecords([{ value: record(changes), revision: 1 }], "store");
        }
        assert.is(registry.isExpectedToServe("i-1"), expected);
        registry.stop();
    });
}

const relistings: readonly { name: string; changes: Partial<UpstreamRecord>; expected: boolean }[] = [
    { name: "the same one", changes: {}, expected: false },
    { name: "one that has restarted", changes: { bornAtMs: 2 }, expected: true },
    { name: "another one at a new address", changes: { address: "127.0.0.1:2" }, expected: true },
];

for (const { name, changes, expected } of relistings) {
    test(`DRAIN: an upstream that leaves is used again once its entry lapsed and came back: ${name}`, () => {
        const clusterState = makeClusterState(silentLog, makeGatewayMetrics());
        const registry = makeUpstreamRegistry(clusterState);
        clusterState.applyRecords([{ value: record({}), revision: 1 }], "store");
        registry.get("i-1")!.announced.noteLeaving();
        clusterState.applyRemovals([{ id: "i-1", revision: 2 }], "store");
        assert.equal(registry.plain("drafts"), []);
        clusterState.applyRecords([{ value: record(changes), revision: 3 }], "store");
        assert.is(registry.plain("drafts").length === 1, expected);
        registry.stop();
    });
}

test.run();
