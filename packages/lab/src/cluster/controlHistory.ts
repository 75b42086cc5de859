/** Samples of a zone's control state over time, and the invariants that must hold over all of them. */
import { GroupRow, InstanceRow, type KeyedRow, leaseKey, ServerInfo, zonePartition } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { sleep, systemTimer } from "@rattanquay/timer";
import { callOperatorApi } from "./clusterClient";
import { type ProcessCluster } from "./processCluster";

/** The state of the table, the processes and the instances at one time, without those that did not answer. */
export type ControlSample = {
    readonly atMs: number;
    readonly leaseFence: number | undefined;
    /** The zone's rows from one consistent read, if the table answered. */
    readonly rows: { readonly groups: readonly GroupRow[]; readonly owners: readonly InstanceRow[] } | undefined;
    /** The groups that each process counts as serving. */
    readonly serving: readonly { readonly process: string; readonly group: string }[];
    /** The boot of each instance and the group that it reports to be ready for. */
    readonly instances: readonly { readonly instance: string; readonly bootId: string; readonly readyFor?: string }[];
};

export type Observer = { readonly stop: () => Promise<readonly ControlSample[]> };

const samplePauseMs = 100;
const callTimeoutMs = 400;
const maxSamples = 2_000;

/** Samples a cluster until it is stopped or the maximum number of samples is reached. */
export function observe(cluster: ProcessCluster, table: Table, availabilityZone: string): Observer {
    const samples: ControlSample[] = [];
    let isRunning = true;
    const run = async (): Promise<void> => {
        while (isRunning && samples.length < maxSamples) {
            samples.push(await takeSample(cluster, table, availabilityZone));
            await sleep(systemTimer, samplePauseMs);
        }
    };
    const done = run();
    return {
        stop: async () => {
            isRunning = false;
            await done;
            return samples;
        },
    };
}

/**
 * Queries the instances last: the members of a group that a process counts as serving must have been ready before, so
 * this sample or an earlier one shows them as ready.
 */
async function takeSample(cluster: ProcessCluster, table: Table, availabilityZone: string): Promise<ControlSample> {
    const atMs = systemTimer.nowMs();
    const lease = await table.read(leaseKey(availabilityZone));
    const rows = await table.list(zonePartition(availabilityZone));
    const serving = await Promise.all(
        cluster.entries.map(entry => fetchServingGroups(entry.name, entry.ports.operators)),
    );
    const instances = await Promise.all(cluster.engines.map(engine => fetchServerInfo(engine.port)));
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

function parseRows(rows: readonly KeyedRow[]) {
    return {
        groups: rows.filter(row => row.key.startsWith("group/")).map(row => GroupRow.parse(row.body)),
        owners: rows.filter(row => row.key.startsWith("instance/")).map(row => InstanceRow.parse(row.body)),
    };
}

async function fetchServerInfo(port: number): Promise<ServerInfo | undefined> {
    try {
        const signal = AbortSignal.timeout(callTimeoutMs);
        return ServerInfo.parse(await (await fetch(`http://127.0.0.1:${port}/server_info`, { signal })).json());
    }
    catch {
        return undefined;
    }
}

type Status = { readonly groups: readonly { readonly group: string; readonly standing: string }[] };

async function fetchServingGroups(process: string, port: number): Promise<ControlSample["serving"]> {
    const status = await Promise.race([
        callOperatorApi(port, "/v1/status").catch(() => undefined),
        sleep(systemTimer, callTimeoutMs),
    ]) as Status | undefined;
    return (status?.groups ?? [])
        .filter(({ standing }) => standing === "serving")
        .map(({ group }) => ({ process, group }));
}

/** How long a process may still count an instance as ready for a group after it has ceased to be. */
const evidenceWindowMs = 2_500;

/** Describes each violation of an invariant in the samples; empty if there is none. */
export function checkControlHistory(samples: readonly ControlSample[]): readonly string[] {
    return [
        ...samples.flatMap(({ rows }) => rows === undefined ? [] : findDoubleMembers(rows.groups)),
        ...samples.flatMap(({ rows }) => rows === undefined ? [] : findMismatchedOwners(rows)),
        ...findFallingFences(samples),
        ...findUnprovenServing(samples),
    ];
}

function findDoubleMembers(groups: readonly GroupRow[]): readonly string[] {
    const members = groups.flatMap(({ group, members: all }) => all.map(({ instance }) => ({ group, instance })));
    return members.flatMap(({ group, instance }, index) => {
        const other = members.slice(0, index).find(earlier => earlier.instance === instance);
        return other === undefined ? [] : [`${instance} is in ${other.group} and ${group}`];
    });
}

function findMismatchedOwners({ groups, owners }: NonNullable<ControlSample["rows"]>): readonly string[] {
    return owners.flatMap(({ instance, group }) => {
        const member = groups.find(({ members }) => members.some(known => known.instance === instance))?.group;
        return member === group ? [] : [`${instance} is owned by ${group} and a member of ${member}`];
    });
}

function findFallingFences(samples: readonly ControlSample[]): readonly string[] {
    const fences = samples.flatMap(({ leaseFence }) => leaseFence === undefined ? [] : [leaseFence]);
    return fences.flatMap((fence, index) =>
        index > 0 && fence < fences[index - 1]! ? [`the lease went from fence ${fences[index - 1]} to ${fence}`] : []
    );
}

function findUnprovenServing(samples: readonly ControlSample[]): readonly string[] {
    const membersOf = new Map(
        samples.flatMap(({ rows }) => rows?.groups ?? []).map(({ group, members }) => [group, members] as const),
    );
    return samples.flatMap(({ atMs, serving }) => {
        const recent = samples.filter(other => other.atMs <= atMs && other.atMs >= atMs - evidenceWindowMs);
        const isOld = atMs - samples[0]!.atMs >= evidenceWindowMs;
        return serving.flatMap(({ process, group }) =>
            (membersOf.get(group) ?? []).flatMap(({ instance, bootId }) => {
                const isProven = recent.some(({ instances }) =>
                    instances.some(known =>
                        known.instance === instance && known.bootId === bootId && known.readyFor === group
                    )
                );
                return isProven || !isOld ? [] : [`${process} serves ${group} without ${instance}`];
            })
        );
    });
}
