/** Names of allowed regions that match nothing are logged, once each: a misspelled one refuses every request. */
import { type ServingConfig } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeGatewayMetrics } from "../../metrics";
import { type GatewaySettings } from "../../settings";
import { makeClusterState } from "../clusterState";
import { reportUnknownRegions } from "../reportUnknownRegions";

type Lists = { readonly route?: string[]; readonly workspace?: string[] };

const cases: readonly {
    name: string;
    regions: Record<string, string> | undefined;
    versions: readonly Lists[];
    reported: readonly unknown[];
}[] = [
    { name: "no list", regions: { a: "east" }, versions: [{}], reported: [] },
    { name: "known names", regions: { a: "east" }, versions: [{ route: ["east"], workspace: ["east"] }], reported: [] },
    {
        name: "an unknown name of a route, in two versions",
        regions: { a: "east" },
        versions: [{ route: ["nowhere"] }, { route: ["nowhere"], workspace: ["nowhere"] }],
        reported: [{ region: "nowhere", route: "r" }],
    },
    {
        name: "an unknown name of a workspace in a later version",
        regions: { a: "east" },
        versions: [{}, { workspace: ["east", "Nowhere"] }],
        reported: [{ region: "Nowhere", workspace: "w" }],
    },
    {
        name: "settings without regions",
        regions: undefined,
        versions: [{ route: ["east"] }],
        reported: [{ region: "east", route: "r" }],
    },
];

for (const { name, regions, versions, reported } of cases) {
    test(`unknown regions are logged once: ${name}`, () => {
        const clusterState = makeClusterState(silentLog, makeGatewayMetrics());
        const lines: unknown[] = [];
        const log = {
            ...silentLog,
            warn: (event: string, fields: unknown = {}): void => {
                if (event === "regionUnknown") {
                    lines.push(fields);
                }
            },
        };
        reportUnknownRegions(clusterState, { log, settings: { regions } as GatewaySettings });
        versions.forEach(({ route, workspace }, index) => {
            const config = {
                version: index + 1,
                routes: [{ name: "r", hostname: "h", prefix: "/", allowedRegions: route }],
                services: [],
                bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
                workspaces: [{ workspace: "w", keys: [], allowedRegions: workspace }],
            };
            clusterState.applyConfiguration(config as unknown as ServingConfig, "store");
        });
        assert.equal(lines, reported);
    });
}

test.run();
