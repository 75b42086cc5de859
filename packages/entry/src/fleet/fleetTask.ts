/**
 * Follows the platform's instance list, the zone's group rows and the instances themselves, and publishes what may be
 * given work. Evidence is never carried over a restart and ages on this process's clock.
 */
import {
    emptySnapshot,
    type Evidence,
    instanceIsRecalled,
    judgeGroup,
    type Snapshot,
    type Standing,
    versionIsRecalled,
} from "@rattanquay/core";
import { type Stored } from "@rattanquay/platform";
import { type EntryPlace, GroupRow, type Instance, type InstanceList } from "@rattanquay/schema";
import { type Feed, makeSource, startTask } from "@rattanquay/task";
import { zoneHeadKey, zonePartition } from "../rowKeys";
import { type Surroundings } from "../surroundings";
import { makeProber } from "./prober";

/** A zone as one process knows it at one instant. */
export type ZoneKnowledge = {
    readonly instances: readonly Instance[];
    readonly entries: readonly EntryPlace[];
    readonly groups: readonly GroupRow[];
    readonly standings: ReadonlyMap<string, Standing>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Rows of the zone's partition by key, with the versions that a transaction must name. */
    readonly rows: ReadonlyMap<string, Stored>;
    /** The zone head's version; `undefined` until it was read, -1 while there is none. */
    readonly headVersion: number | undefined;
    readonly judgedAtMs: number;
};

type Message =
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot }
    | { readonly kind: "pollInstances" }
    | { readonly kind: "instances"; readonly list: InstanceList }
    | { readonly kind: "pollGroups" }
    | { readonly kind: "groups"; readonly headVersion: number; readonly rows: readonly Stored[] }
    | { readonly kind: "probe" }
    | { readonly kind: "evidence"; readonly instance: string; readonly evidence: Evidence }
    | { readonly kind: "judge" };

export type Fleet = {
    readonly feed: Feed<ZoneKnowledge>;
    /** Reads the groups again now, after this process has changed them. */
    readonly refreshGroups: () => void;
    readonly stop: () => void;
};

const judgeIntervalMs = 50;
/** The version of a zone head that was never written. */
export const noHead = -1;

const nothingKnown: ZoneKnowledge = {
    instances: [],
    entries: [],
    groups: [],
    standings: new Map(),
    evidence: new Map(),
    rows: new Map(),
    headVersion: undefined,
    judgedAtMs: 0,
};

export function startFleet(surroundings: Surroundings): Fleet & { readonly setSnapshot: (snapshot: Snapshot) => void } {
    const { settings, timer, log, metrics, instanceSource } = surroundings;
    const { intervals } = settings;
    const availabilityZone = settings.process.availabilityZone;
    const prober = makeProber({ timeoutMs: intervals.evidenceMaxAgeMs });
    const source = makeSource(nothingKnown);
    const evidence = new Map<string, Evidence>();
    const probing = new Set<string>();
    let snapshot = emptySnapshot;
    let list: InstanceList = { instances: [], entries: [] };
    let groups: readonly GroupRow[] = [];
    let rows: ReadonlyMap<string, Stored> = new Map();
    let headVersion: number | undefined;
    let readingGroups = false;
    let readingInstances = false;

    const probeOne = async (instance: string, address: string): Promise<void> => {
        const sentAtMs = timer.nowMs();
        const info = await prober.probe(address);
        probing.delete(instance);
        if (info !== undefined && info.instance === instance) {
            mailbox.send({ kind: "evidence", instance, evidence: { info, sentAtMs } });
        }
    };

    const readInstances = async (): Promise<void> => {
        const outcome = await instanceSource.list();
        readingInstances = false;
        if (outcome.kind === "done") {
            mailbox.send({ kind: "instances", list: outcome.value });
            return;
        }
        metrics.platformErrors.inc({ call: "listInstances" });
    };

    const readGroups = async (): Promise<void> => {
        const read = await readZone(surroundings, headVersion);
        readingGroups = false;
        if (read.kind === "changed") {
            mailbox.send({ kind: "groups", headVersion: read.headVersion, rows: read.rows });
        }
        if (read.kind === "unavailable") {
            metrics.platformErrors.inc({ call: "readGroups" });
        }
    };

    const judge = (): void => {
        const nowMs = timer.nowMs();
        const standings = new Map(groups.map(group => [
            group.group,
            judgeGroup(group, evidence, surroundingsOf(group, snapshot, list), {
                nowMs,
                maxAgeMs: intervals.evidenceMaxAgeMs,
            }),
        ]));
        logChanges(surroundings, source.latest().standings, standings);
        source.publish({
            instances: list.instances,
            entries: list.entries,
            groups,
            standings,
            evidence: new Map(evidence),
            rows,
            headVersion,
            judgedAtMs: nowMs,
        });
    };

    const mailbox = startTask<Message>({
        name: "fleet",
        onBroken: surroundings.onBroken,
        handlers: {
            snapshot: message => {
                snapshot = message.snapshot;
            },
            pollInstances: () => {
                if (!readingInstances) {
                    readingInstances = true;
                    void readInstances();
                }
            },
            instances: message => {
                list = message.list;
                const listed = new Set(list.instances.map(instance => instance.instance));
                [...evidence.keys()].filter(instance => !listed.has(instance)).forEach(instance =>
                    evidence.delete(instance)
                );
            },
            pollGroups: () => {
                if (!readingGroups) {
                    readingGroups = true;
                    void readGroups();
                }
            },
            groups: message => {
                headVersion = message.headVersion;
                rows = new Map(message.rows.map(row => [row.key, row]));
                groups = message.rows.filter(row => row.key.startsWith("group/")).map(row => GroupRow.parse(row.body));
                log.info("groupsRead", { headVersion, groups: groups.length });
            },
            probe: () => {
                for (const [instance, address] of probeTargets(list, groups, availabilityZone)) {
                    if (!probing.has(instance)) {
                        probing.add(instance);
                        void probeOne(instance, address);
                    }
                }
            },
            evidence: message => {
                evidence.set(message.instance, message.evidence);
            },
            judge,
        },
    });
    const cancels = [
        timer.every(intervals.instanceListPollMs, () => mailbox.send({ kind: "pollInstances" })),
        timer.every(intervals.groupPollMs, () => mailbox.send({ kind: "pollGroups" })),
        timer.every(intervals.probeMs, () => mailbox.send({ kind: "probe" })),
        timer.every(judgeIntervalMs, () => mailbox.send({ kind: "judge" })),
    ];
    mailbox.send({ kind: "pollInstances" });
    mailbox.send({ kind: "pollGroups" });
    return {
        feed: source,
        refreshGroups: () => mailbox.send({ kind: "pollGroups" }),
        setSnapshot: next => mailbox.send({ kind: "snapshot", snapshot: next }),
        stop: () => {
            cancels.forEach(cancel => cancel());
            prober.stop();
            mailbox.close();
        },
    };
}

type ZoneRead =
    | { readonly kind: "unchanged" }
    | { readonly kind: "unavailable" }
    | { readonly kind: "changed"; readonly headVersion: number; readonly rows: readonly Stored[] };

/** Reads the zone's rows when its head has moved; a head that moves meanwhile means that the next poll reads again. */
async function readZone({ table, settings }: Surroundings, knownVersion: number | undefined): Promise<ZoneRead> {
    const { availabilityZone } = settings.process;
    const head = await table.read(zoneHeadKey(availabilityZone));
    if (head.kind !== "done") {
        return { kind: "unavailable" };
    }
    const headVersion = head.value?.version ?? noHead;
    if (knownVersion !== undefined && headVersion <= knownVersion) {
        return { kind: "unchanged" };
    }
    const rows = await table.list(zonePartition(availabilityZone));
    const after = await table.read(zoneHeadKey(availabilityZone));
    if (rows.kind !== "done" || after.kind !== "done") {
        return { kind: "unavailable" };
    }
    return (after.value?.version ?? noHead) === headVersion
        ? { kind: "changed", headVersion, rows: rows.value }
        : { kind: "unchanged" };
}

function surroundingsOf(group: GroupRow, snapshot: Snapshot, list: InstanceList) {
    return {
        leaving: new Set(
            list.instances.filter(instance => instance.state === "leaving").map(instance => instance.instance),
        ),
        recalledInstances: new Set(
            group.members.map(member => member.instance).filter(instance => instanceIsRecalled(snapshot, instance)),
        ),
        versionRecalled: versionIsRecalled(snapshot, group.model, group.version),
    };
}

/** Listed instances of the zone, and members of groups that the list has dropped already. */
function probeTargets(
    list: InstanceList,
    groups: readonly GroupRow[],
    availabilityZone: string,
): ReadonlyMap<string, string> {
    const members = groups.flatMap(group => group.members.map(member => [member.instance, member.address] as const));
    const listed = list.instances
        .filter(instance => instance.availabilityZone === availabilityZone)
        .map(instance => [instance.instance, instance.address] as const);
    return new Map([...members, ...listed]);
}

function logChanges(
    { log }: Surroundings,
    before: ReadonlyMap<string, Standing>,
    after: ReadonlyMap<string, Standing>,
): void {
    for (const [group, standing] of after) {
        if (before.get(group)?.kind !== standing.kind) {
            log.info("groupStanding", { group, ...standing, kind: undefined, standing: standing.kind });
        }
    }
}
