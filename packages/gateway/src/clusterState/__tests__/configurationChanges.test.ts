/** Guards against a refusal that no log can check, because the change of keys or routes behind it left no trace. */
import { type ServingConfig, type ServingRoute } from "@rattanquay/schema";
import { type Log, silentLog } from "@rattanquay/telemetry";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { digestKey } from "../../keyDigest";
import { makeGatewayMetrics } from "../../metrics";
import { type ConfigurationChanges, describeChanges } from "../configurationChanges";
import { makeClusterState } from "../index";

const route = (name: string, overrides: Partial<ServingRoute> = {}): ServingRoute => ({
    name,
    hostname: "calls.example",
    prefix: `/${name}/`,
    kind: "idempotent",
    timeoutMs: 1_500,
    objectiveMs: 400,
    priority: 1,
    targets: [],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
    ...overrides,
});

const config = (
    routes: readonly ServingRoute[],
    keys: readonly (readonly string[])[] | undefined,
    version = 1,
): ServingConfig => ({
    version,
    routes: [...routes],
    services: [{ service: "plain", healthPath: "/", maxConnections: 10 }],
    bounds: { maxHeaderBytes: 1, maxBodyBytes: 9, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...keys === undefined
        ? {}
        : { workspaces: keys.map((of, index) => ({ workspace: `w${index}`, keys: [...of] })) },
});

const names = (count: number): string[] => Array.from({ length: count }, (unused, index) => `n${index}`);
const digests = (...keys: readonly string[]) => ({ total: keys.length, listed: keys.map(digestKey) });
const [a, b] = [route("a"), route("b")];

const cases: readonly {
    name: string;
    before: ServingConfig | undefined;
    after: ServingConfig;
    changes: Partial<ConfigurationChanges>;
}[] = [
    {
        name: "the first configuration",
        before: undefined,
        after: config([a], [["k1"]]),
        changes: { routes: 1, keys: 1, keysAdded: digests("k1"), routesAdded: { total: 1, listed: ["a"] } },
    },
    { name: "none", before: config([a], [["k1"]]), after: config([a], [["k1"]]), changes: { routes: 1, keys: 1 } },
    {
        name: "a key is replaced",
        before: config([a], [["k1", "k2"]]),
        after: config([a], [["k2", "k3"]]),
        changes: { routes: 1, keys: 2, keysAdded: digests("k3"), keysRemoved: digests("k1") },
    },
    {
        name: "a key moves to another workspace",
        before: config([a], [["k1"], []]),
        after: config([a], [[], ["k1"]]),
        changes: { routes: 1, keys: 1 },
    },
    {
        name: "keys are no longer needed",
        before: config([a], [["k1"]]),
        after: config([a], undefined),
        changes: { routes: 1, keys: undefined, keysRemoved: digests("k1") },
    },
    {
        name: "a route is replaced",
        before: config([a], undefined),
        after: config([b], undefined),
        changes: { routes: 1, routesAdded: { total: 1, listed: ["b"] }, routesRemoved: { total: 1, listed: ["a"] } },
    },
    ...[{ prefix: "/c/" }, { hostname: "other.example" }, { isPublic: true }].map(overrides => ({
        name: `a route gets ${JSON.stringify(overrides)}`,
        before: config([a, b], undefined),
        after: config([route("a", overrides), b], undefined),
        changes: { routes: 2, routesChanged: { total: 1, listed: ["a"] } },
    })),
    {
        name: "a route's time limit, which refuses nobody for good",
        before: config([a], undefined),
        after: config([route("a", { timeoutMs: 1 })], undefined),
        changes: { routes: 1 },
    },
    {
        name: "more than a line holds",
        before: config([], [names(800)]),
        after: config(names(800).map(name => route(name)), [[]]),
        changes: {
            routes: 800,
            keys: 0,
            keysRemoved: { total: 800, listed: names(20).map(digestKey) },
            routesAdded: { total: 800, listed: names(20) },
        },
    },
];

for (const { name, before, after, changes } of cases) {
    test(`DENIED: changes as logged: ${name}`, () => {
        const expected = { version: 1, before: before?.version, services: 1, maxBodyBytes: 9, ...changes };
        assert.equal(JSON.parse(JSON.stringify(describeChanges(before, after))), JSON.parse(JSON.stringify(expected)));
    });
}

test("DENIED: the line of a configuration has its changes, and no key", () => {
    const lines: { readonly event: string; readonly fields: unknown }[] = [];
    const log: Log = { ...silentLog, info: (event, fields) => lines.push({ event, fields }) };
    const clusterState = makeClusterState(log, makeGatewayMetrics());
    clusterState.applyConfiguration(config([a], [["secret-1"]], 1), "store");
    clusterState.applyConfiguration(config([a], [["secret-2"]], 4), "peer");
    clusterState.applyConfiguration(config([a], [["secret-3"]], 3), "peer");
    const text = JSON.stringify(lines);
    assert.not.match(text, /secret/);
    assert.equal(JSON.parse(text)[1], {
        event: "configurationInForce",
        fields: {
            version: 4,
            before: 1,
            origin: "peer",
            routes: 1,
            services: 1,
            keys: 1,
            maxBodyBytes: 9,
            keysAdded: digests("secret-2"),
            keysRemoved: digests("secret-1"),
        },
    });
    assert.is(lines.length, 2);
});

test.run();
