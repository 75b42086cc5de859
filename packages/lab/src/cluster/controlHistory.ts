/** What an observer saw of a zone's control over time, and what must hold of all of it. */
import { GroupRow, InstanceRow, leaseKey, ServerInfo, type Stored, zonePartition } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { sleep, systemTimer } from "@rattanquay/timer";
import { operate } from "./clusterClient";
import { type ProcessCluster } from "./processCluster";

/** One look at everything; what did not answer is missing from it. */
export type ControlSample = {
    readonly atMs: number;
    readonly leaseFence: number | undefined;
    /** Rows of the zone from one consistent read, when the table answered. */
    readonly rows: { readonly groups: readonly GroupRow[]; readonly owners: readonly InstanceRow[] } | undefined;
    /** Groups that some process would give work to. */
    readonly serving: readonly { readonly process: string; readonly group: string }[];
    /** What each instance said of itself: its boot, and the group that it is ready for. */
    readonly instances: readonly { readonly instance: string; readonly bootId: string; readonly readyFor?: string }[];
};

export type Observer = { readonly stop: () => Promise<readonly ControlSample[]> };

const samplePauseMs = 100;
const callTimeoutMs = 400;
const maxSamples = 2_000;

/** Watches a cluster until told to stop. */
export function observe(cluster: ProcessCluster, table: Table, availabilityZone: string): Observer {
    const samples: ControlSample[] = [];
    let going = true;
    const run = async (): Promise<void> => {
        while (going && samples.length < maxSamples) {
            samples.push(await look(cluster, table, availabilityZone));
            await sleep(systemTimer, samplePauseMs);
        }
    };
    const done = run();
    return {
        stop: async () => {
            going = false;
            await done;
            return samples;
        },
    };
}

/** The instances are asked last: what a process serves must have been ready before, and shows here or in an earlier look. */
async function look(cluster: ProcessCluster, table: Table, availabilityZone: string): Promise<ControlSample> {
    const atMs = systemTimer.nowMs();
    const lease = await table.read(leaseKey(availabilityZone));
    const rows = await table.list(zonePartition(availabilityZone));
    const serving = await Promise.all(cluster.entries.map(entry => servingOf(entry.name, entry.ports.operators)));
    const instances = await Promise.all(cluster.engines.map(engine => accountOf(engine.port)));
    return {
        atMs,
        leaseFence: lease.kind === "done" ? lease.value?.fence : undefined,
        rows: rows.kind === "done" ? parseRows(rows.value) : undefined,
        serving: serving.flat(),
        instances: instances.flatMap(info =>
            info === undefined ? [] : [{
                instance: info.instance,
                bootId: info.bootId,
                ...(info.status === "ready" && info.group !== undefined ? { readyFor: info.group } : {}),
            }]
        ),
    };
}

function parseRows(rows: readonly Stored[]) {
    return {
        groups: rows.filter(row => row.key.startsWith("group/")).map(row => GroupRow.parse(row.body)),
        owners: rows.filter(row => row.key.startsWith("instance/")).map(row => InstanceRow.parse(row.body)),
    };
}

async function accountOf(port: number): Promise<ServerInfo | undefined> {
    try {
        const signal = AbortSignal.timeout(callTimeoutMs);
        return ServerInfo.parse(await (await fetch(`http://127.0.0.1:${port}/server_info`, { signal })).json());
    }
    catch {
        return undefined;
    }
}

type Status = { readonly groups: readonly { readonly group: string; readonly standing: string }[] };

async function servingOf(process: string, port: number): Promise<ControlSample["serving"]> {
    const status = await Promise.race([
        operate(port, "/v1/status").catch(() => undefined),
        sleep(systemTimer, callTimeoutMs),
    ]) as Status | undefined;
    return (status?.groups ?? [])
        .filter(({ standing }) => standing === "serving")
        .map(({ group }) => ({ process, group }));
}

/** How long after an instance stopped being ready for a group a process may still take it for ready. */
const evidenceMs = 2_500;

/** Everything in the samples that must not be; empty when all is well. */
export function checkControlHistory(samples: readonly ControlSample[]): readonly string[] {
    return [
        ...samples.flatMap(({ rows }) => rows === undefined ? [] : doubleMembers(rows.groups)),
        ...samples.flatMap(({ rows }) => rows === undefined ? [] : strayOwners(rows)),
        ...fallingFences(samples),
        ...unprovedServing(samples),
    ];
}

function doubleMembers(groups: readonly GroupRow[]): readonly string[] {
    const members = groups.flatMap(({ group, members: all }) => all.map(({ instance }) => ({ group, instance })));
    return members.flatMap(({ group, instance }, index) => {
        const other = members.slice(0, index).find(earlier => earlier.instance === instance);
        return other === undefined ? [] : [`${instance} is in ${other.group} and ${group}`];
    });
}

function strayOwners({ groups, owners }: NonNullable<ControlSample["rows"]>): readonly string[] {
    return owners.flatMap(({ instance, group }) => {
        const member = groups.find(({ members }) => members.some(known => known.instance === instance))?.group;
        return member === group ? [] : [`${instance} is owned by ${group} and a member of ${member}`];
    });
}

function fallingFences(samples: readonly ControlSample[]): readonly string[] {
    const fences = samples.flatMap(({ leaseFence }) => leaseFence === undefined ? [] : [leaseFence]);
    return fences.flatMap((fence, index) =>
        index > 0 && fence < fences[index - 1]! ? [`the lease went from fence ${fences[index - 1]} to ${fence}`] : []
    );
}

function unprovedServing(samples: readonly ControlSample[]): readonly string[] {
    const membersOf = new Map(
        samples.flatMap(({ rows }) => rows?.groups ?? []).map(({ group, members }) => [group, members] as const),
    );
    return samples.flatMap(({ atMs, serving }) => {
        const recent = samples.filter(other => other.atMs <= atMs && other.atMs >= atMs - evidenceMs);
        const isOld = atMs - samples[0]!.atMs >= evidenceMs;
        return serving.flatMap(({ process, group }) =>
            (membersOf.get(group) ?? []).flatMap(({ instance, bootId }) => {
                const proved = recent.some(({ instances }) =>
                    instances.some(known =>
                        known.instance === instance && known.bootId === bootId && known.readyFor === group
                    )
                );
                return proved || !isOld ? [] : [`${process} serves ${group} without ${instance}`];
            })
        );
    });
}
