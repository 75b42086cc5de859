/**
 * Checks the control plane of a zone, run as separate processes, under frozen processes, platform faults,
 * an unreachable fabric domain, and two faults at once.
 */
import { makeDynamoTable, type Table } from "@rattanquay/table";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callOperatorApi,
    checkControlHistory,
    type ControlSample,
    defaultSpec,
    observe,
    type ProcessCluster,
    startProcessCluster,
    waitUntilServing,
} from "../cluster";

const availabilityZone = "zone-a";
const spec = {
    ...defaultSpec,
    zones: 1,
    entriesPerZone: 3,
    domainsPerZone: 2,
    instancesPerDomain: 4,
    replicasPerZone: 3,
    engine: { checksFence: false },
};
const recoveryTimeoutMs = 25_000;
let cluster: ProcessCluster;
let table: Table;

const postFault = async (port: number, body: object): Promise<void> => {
    await (await fetch(`http://127.0.0.1:${port}/lab/fault`, { method: "POST", body: JSON.stringify(body) })).text();
};
const setPlatformFault = (fault: object): Promise<void> => postFault(cluster.platform.port, fault);
const setMute = async (prefix: string, isMute: boolean): Promise<void> => {
    await Promise.all(
        cluster.engines.filter(({ name }) => name.startsWith(prefix)).map(({ port }) =>
            postFault(port, { mute: isMute })
        ),
    );
};

async function freezeLeaseHolder(durationMs: number): Promise<void> {
    for (const { ports, child } of cluster.entries) {
        const { holdsLease } = await callOperatorApi(ports.operators, "/v1/status") as { readonly holdsLease: boolean };
        if (holdsLease) {
            child.kill("SIGSTOP");
            await sleep(systemTimer, durationMs);
            child.kill("SIGCONT");
            return;
        }
    }
}

const cases = [
    {
        name: "the lease holder frozen until its lease has expired, then resumed",
        faults: () => freezeLeaseHolder(7_000),
    },
    {
        name: "the platform unavailable, then slow",
        faults: async () => {
            await setPlatformFault({ down: true });
            await sleep(systemTimer, 2_500);
            await setPlatformFault({ slowMs: 700 });
            await sleep(systemTimer, 2_500);
            await setPlatformFault({});
        },
    },
    {
        name: "a fabric domain unreachable for a while",
        faults: async () => {
            await setMute(`${availabilityZone}-d0`, true);
            await sleep(systemTimer, 3_000);
            await setMute(`${availabilityZone}-d0`, false);
        },
    },
    {
        name: "the lease holder frozen while an instance is unreachable and platform responses are lost",
        faults: async () => {
            await setPlatformFault({ loseAnswers: 0.3 });
            await setMute(`${availabilityZone}-d1-i0`, true);
            await freezeLeaseHolder(6_000);
            await setMute(`${availabilityZone}-d1-i0`, false);
            await setPlatformFault({});
        },
    },
];

test.before(async () => {
    cluster = await startProcessCluster(spec);
    table = makeDynamoTable({
        endpoint: `http://127.0.0.1:${cluster.platform.port}`,
        region: "local",
        tableName: "rattanquay",
        timeoutMs: 1_500,
        credentials: { accessKeyId: "lab", secretAccessKey: "lab" },
    });
});

test.after(async () => {
    table.stop();
    await cluster.stop();
});

for (const { name, faults } of cases) {
    test(`no invariant is broken, and all replicas serve again: ${name}`, async () => {
        const observer = observe(cluster, table, availabilityZone);
        await faults();
        const ports = cluster.entries.map(entry => entry.ports.operators);
        await waitUntilServing(ports, "assistant", spec.replicasPerZone, recoveryTimeoutMs);
        await sleep(systemTimer, 1_000);
        const samples = await observer.stop();
        assert.ok(samples.filter(({ rows }) => rows !== undefined).length > 1, "the observer saw no rows");
        assert.equal(checkControlHistory(samples), []);
    });
}

const makeMember = (instance: string) => ({ instance, address: "", bootId: "b1" });
const makeGroup = (name: string, instances: readonly string[]) => ({
    group: name,
    service: "s",
    availabilityZone,
    fabricDomain: "d",
    fence: 1,
    model: "m",
    version: "1",
    state: "active" as const,
    members: instances.map(makeMember),
});
const makeSample = (atMs: number, changes: Partial<ControlSample>): ControlSample => ({
    atMs,
    leaseFence: 1,
    rows: { groups: [makeGroup("g", ["i", "j"])], owners: [] },
    serving: [],
    instances: [],
    ...changes,
});
const makeReadyInstance = (instance: string, bootId: string) => ({ instance, bootId, readyFor: "g" });
const serving = [{ process: "p", group: "g" }];
const invalidHistories = [
    {
        name: "an instance in two groups",
        samples: [makeSample(0, { rows: { groups: [makeGroup("g", ["i"]), makeGroup("h", ["i"])], owners: [] } })],
    },
    {
        name: "an owner row for an instance that is not a member",
        samples: [makeSample(0, { rows: { groups: [], owners: [{ instance: "i", group: "g", fence: 1 }] } })],
    },
    { name: "a fence that decreases", samples: [makeSample(0, { leaseFence: 3 }), makeSample(100, { leaseFence: 2 })] },
    {
        name: "a group that serves while a member is missing",
        samples: [makeSample(0, {}), makeSample(3_000, { serving, instances: [makeReadyInstance("i", "b1")] })],
    },
    {
        name: "a group that serves with a restarted member",
        samples: [
            makeSample(0, {}),
            makeSample(3_000, { serving, instances: [makeReadyInstance("i", "b1"), makeReadyInstance("j", "b2")] }),
        ],
    },
];

for (const { name, samples } of invalidHistories) {
    test(`the history check finds ${name}`, () => {
        assert.is(checkControlHistory(samples).length, 1);
    });
}

test.run();
