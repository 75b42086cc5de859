/** Records that a peer of another version passes on although they name no usable upstream. */
import { type GatewayAnswer, type UpstreamRecord } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeClusterState } from "../../clusterState";
import { makeGatewayMetrics } from "../../metrics";
import { makeRowFaults } from "../../rowFaults";
import { applyStateAnswer } from "../stateAnswers";

type StateAnswer = Extract<GatewayAnswer, { kind: "clusterState" }>;

const makeRecord = (id: string, changes: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
    id,
    service: "plain",
    address: "10.0.0.1:80",
    availabilityZone: "a",
    slots: 1,
    isDraining: false,
    bornAtMs: 1,
    stagedModels: [],
    loadedModels: [],
    ...changes,
});
const membership = { group: "g1", epoch: 1, rank: 0, state: "open" } as const;
const oddChanges: readonly Partial<UpstreamRecord>[] = [
    { address: "10.0.0.1:70000" },
    { address: "10.0.0.1:0" },
    { slots: 1e300 },
    { bornAtMs: -1 },
    { membership: { ...membership, epoch: 1e300 } },
    { membership: { ...membership, rank: -1 } },
];

for (const isWhole of [false, true]) {
    for (const changes of oddChanges) {
        const name = `${JSON.stringify(changes)} in ${isWhole ? "the whole list" : "a list of changes"}`;
        test(`LOST: a peer's record with ${name} removes that upstream, and the others hold`, async () => {
            const metrics = makeGatewayMetrics();
            const clusterState = makeClusterState(silentLog, metrics);
            const faults = makeRowFaults({ log: silentLog, metrics, timer: new VirtualTimer() });
            const known = ["odd", "sound"].map(id => ({ value: makeRecord(id), revision: 5 }));
            clusterState.applySnapshot(known, 5, "store");
            const answer: StateAnswer = {
                kind: "clusterState",
                isWhole,
                records: [
                    { value: makeRecord("odd", changes), revision: 7 },
                    { value: makeRecord("new"), revision: 8 },
                    ...isWhole ? [known[1]!] : [],
                ],
                removals: [],
                asOf: 9,
            };
            applyStateAnswer(answer, clusterState, faults, 0);
            assert.equal([...clusterState.upstreams().keys()].sort(), ["new", "sound"]);
            assert.is(clusterState.asOf(), 9);
            assert.is((await metrics.unusableRows.get()).values[0]?.value, 1);
        });
    }
}

test.run();
