/** The configuration that a peer sends: what cannot be unpacked changes nothing, and ends nothing. */
import { type GatewayAnswer, type ServingConfig } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { gzipSync } from "node:zlib";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeClusterState } from "../../clusterState";
import { makeGatewayMetrics } from "../../metrics";
import { makeRowFaults } from "../../rowFaults";
import { packConfiguration } from "../packedConfiguration";
import { answerStateRequest, applyStateAnswer, makeStateRequest } from "../stateAnswers";

type StateAnswer = Extract<GatewayAnswer, { kind: "clusterState" }>;

const bounds = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const makeConfig = (version: number, routes = 1): ServingConfig => ({
    version,
    routes: Array.from({ length: routes }, (unused, index) => ({
        name: `r-${index * 7_919 % 100_003}`,
        hostname: "calls.example",
        prefix: `/${index * 104_729 % 1_000_003}/`,
        kind: "idempotent",
        timeoutMs: 1_500,
        objectiveMs: 400,
        priority: 1,
        targets: [{ service: "plain", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isResumable: false,
    })),
    services: [],
    bounds,
    workspaces: [{ workspace: "alpha", keys: ["k"] }],
});

function makePeer(version?: number) {
    const metrics = makeGatewayMetrics();
    const clusterState = makeClusterState(silentLog, metrics);
    if (version !== undefined) {
        clusterState.applyConfiguration(makeConfig(version), "store");
    }
    return { clusterState, metrics, faults: makeRowFaults({ log: silentLog, metrics, timer: new VirtualTimer() }) };
}

const emptyAnswer: StateAnswer = { kind: "clusterState", isWhole: false, records: [], removals: [], asOf: 0 };

test("DENIED: a peer's configuration of a newer version does not come into force", () => {
    const [relay, follower] = [makePeer(9), makePeer(4)];
    const answer = answerStateRequest(makeStateRequest(follower.clusterState), relay.clusterState, 0);
    assert.is(answer.config, undefined);
    applyStateAnswer(answer, follower.clusterState, follower.faults, 0);
    assert.equal(follower.clusterState.configuration(), makeConfig(9));
    assert.is(
        answerStateRequest(makeStateRequest(follower.clusterState), relay.clusterState, 0).packedConfig,
        undefined,
    );
});

test("DENIED: processes of an earlier build do not get a configuration that they cannot unpack", () => {
    const [relay, earlier] = [makePeer(9), makePeer(4)];
    const request = { ...makeStateRequest(earlier.clusterState), acceptsPacked: undefined };
    const answer = answerStateRequest(request, relay.clusterState, 0);
    assert.is(answer.packedConfig, undefined);
    applyStateAnswer(answer, earlier.clusterState, earlier.faults, 0);
    assert.is(earlier.clusterState.routes()?.version, 9);
});

const odd: readonly { readonly name: string; readonly packedConfig: Uint8Array }[] = [
    { name: "no compressed text", packedConfig: Buffer.from("{}") },
    { name: "nothing", packedConfig: new Uint8Array() },
    { name: "half of it", packedConfig: packConfiguration(makeConfig(9, 50)).subarray(0, 200) },
    { name: "no JSON", packedConfig: gzipSync("{") },
    { name: "no configuration", packedConfig: gzipSync(JSON.stringify({ version: 9 })) },
    { name: "a text without end", packedConfig: gzipSync(Buffer.alloc(40_000_000, " ")) },
];
for (const { name, packedConfig } of odd) {
    test(`LOST: a peer that sends ${name} as its configuration ends the process or changes what is in force`, async () => {
        const { clusterState, metrics, faults } = makePeer(4);
        applyStateAnswer({ ...emptyAnswer, packedConfig }, clusterState, faults, 0);
        assert.is(clusterState.routes()?.version, 4);
        assert.is((await metrics.unusableRows.get()).values[0]?.value, 1);
    });
}

test("a large configuration is packed to a fifth, and once a version", () => {
    const config = makeConfig(9, 2_000);
    const packed = packConfiguration(config);
    assert.ok(packed.length < JSON.stringify(config).length / 5, `${packed.length} bytes`);
    assert.is(packConfiguration(config), packed);
});

test.run();
