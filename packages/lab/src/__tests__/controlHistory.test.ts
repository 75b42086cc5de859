/** The zone's control through separate processes under freezes, platform trouble, a dark domain, and two at once. */
import { makeDynamoTable, type Table } from "@rattanquay/table";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    checkControlHistory,
    type ControlSample,
    defaultSpec,
    observe,
    operate,
    type ProcessCluster,
    startProcessCluster,
    untilServing,
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
const recoverMs = 25_000;
let cluster: ProcessCluster;
let table: Table;

const post = async (port: number, body: object): Promise<void> => {
    await (await fetch(`http://127.0.0.1:${port}/lab/fault`, { method: "POST", body: JSON.stringify(body) })).text();
};
const platform = (fault: object): Promise<void> => post(cluster.platform.port, fault);
const mute = async (prefix: string, isMute: boolean): Promise<void> => {
    await Promise.all(
        cluster.engines.filter(({ name }) => name.startsWith(prefix)).map(({ port }) => post(port, { mute: isMute })),
    );
};

async function freezeHolder(durationMs: number): Promise<void> {
    for (const { ports, child } of cluster.entries) {
        const { holdsLease } = await operate(ports.operators, "/v1/status") as { readonly holdsLease: boolean };
        if (holdsLease) {
            child.kill("SIGSTOP");
            await sleep(systemTimer, durationMs);
            child.kill("SIGCONT");
            return;
        }
    }
}

const cases = [
    { name: "the lease holder frozen past its lease and woken", faults: () => freezeHolder(7_000) },
    {
        name: "the platform down, then slow",
        faults: async () => {
            await platform({ down: true });
            await sleep(systemTimer, 2_500);
            await platform({ slowMs: 700 });
            await sleep(systemTimer, 2_500);
            await platform({});
        },
    },
    {
        name: "a fabric domain dark and back",
        faults: async () => {
            await mute(`${availabilityZone}-d0`, true);
            await sleep(systemTimer, 3_000);
            await mute(`${availabilityZone}-d0`, false);
        },
    },
    {
        name: "the holder frozen while an instance is gone and answers are lost",
        faults: async () => {
            await platform({ loseAnswers: 0.3 });
            await mute(`${availabilityZone}-d1-i0`, true);
            await freezeHolder(6_000);
            await mute(`${availabilityZone}-d1-i0`, false);
            await platform({});
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
    test(`nothing unsafe is seen, and all replicas serve again: ${name}`, async () => {
        const observer = observe(cluster, table, availabilityZone);
        await faults();
        const ports = cluster.entries.map(entry => entry.ports.operators);
        await untilServing(ports, "assistant", spec.replicasPerZone, recoverMs);
        await sleep(systemTimer, 1_000);
        const samples = await observer.stop();
        assert.ok(samples.filter(({ rows }) => rows !== undefined).length > 1, "the observer saw no rows");
        assert.equal(checkControlHistory(samples), []);
    });
}

const member = (instance: string) => ({ instance, address: "", bootId: "b1" });
const group = (name: string, instances: readonly string[]) => ({
    group: name,
    service: "s",
    availabilityZone,
    fabricDomain: "d",
    fence: 1,
    model: "m",
    version: "1",
    state: "active" as const,
    members: instances.map(member),
});
const sample = (atMs: number, changes: Partial<ControlSample>): ControlSample => ({
    atMs,
    leaseFence: 1,
    rows: { groups: [group("g", ["i", "j"])], owners: [] },
    serving: [],
    instances: [],
    ...changes,
});
const ready = (instance: string, bootId: string) => ({ instance, bootId, readyFor: "g" });
const serving = [{ process: "p", group: "g" }];
const badHistories = [
    {
        name: "an instance in two groups",
        samples: [sample(0, { rows: { groups: [group("g", ["i"]), group("h", ["i"])], owners: [] } })],
    },
    {
        name: "an owner that is no member",
        samples: [sample(0, { rows: { groups: [], owners: [{ instance: "i", group: "g", fence: 1 }] } })],
    },
    { name: "a fence that falls", samples: [sample(0, { leaseFence: 3 }), sample(100, { leaseFence: 2 })] },
    {
        name: "service without a member",
        samples: [sample(0, {}), sample(3_000, { serving, instances: [ready("i", "b1")] })],
    },
    {
        name: "service with a member that has restarted",
        samples: [sample(0, {}), sample(3_000, { serving, instances: [ready("i", "b1"), ready("j", "b2")] })],
    },
];

for (const { name, samples } of badHistories) {
    test(`the history check finds ${name}`, () => {
        assert.is(checkControlHistory(samples).length, 1);
    });
}

test.run();
