/**
 * Polls the platform's instance list and the zone's group rows, probes the instances, and publishes which groups may be
 * given work. Evidence is never carried over a restart and its age is measured on this process's clock. Evidence from
 * peers is converted to a time on this clock before it is used.
 */
import {
    emptySnapshot,
    type Evidence,
    type Hash,
    makeEvidenceStore,
    type ProbeEvidence,
    type Snapshot,
} from "@rattanquay/core";
import { type EvidenceUpdate, GroupRow, type InstanceList, type ZoneMessage } from "@rattanquay/schema";
import { type KeyedRow } from "@rattanquay/table";
import {
    type Mailbox,
    makeValuePublisher,
    type ObservableValue,
    startTask,
    type ValuePublisher,
} from "@rattanquay/task";
import { type ProcessContext } from "../processContext";
import { evaluateZone, logStatusChanges } from "./evaluateZone";
import { emptyZone, type ObservedZone } from "./observedZone";
import { makeProbeScheduler, type ProbeScheduler } from "./probeScheduler";
import { readZone } from "./readZone";

type Message =
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot }
    | { readonly kind: "pollInstances" }
    | { readonly kind: "instances"; readonly list: InstanceList | undefined }
    | { readonly kind: "pollGroups" }
    | { readonly kind: "groups"; readonly headVersion: number; readonly rows: readonly KeyedRow[] }
    | { readonly kind: "groupsReadEnded" }
    | { readonly kind: "peerZone"; readonly zone: ZoneMessage }
    | { readonly kind: "peers"; readonly peers: readonly string[] }
    | { readonly kind: "peerEvidence"; readonly peer: string; readonly news: EvidenceUpdate; readonly sentAtMs: number }
    | { readonly kind: "peerEvidenceReset"; readonly peer: string }
    | { readonly kind: "probe" }
    | { readonly kind: "probeEvidence"; readonly instance: string; readonly evidence: ProbeEvidence }
    | { readonly kind: "evaluate" };

export type Fleet = {
    readonly feed: ObservableValue<ObservedZone>;
    /** Reads the groups immediately, after this process has changed them. */
    readonly refreshGroups: () => void;
    readonly setSnapshot: (snapshot: Snapshot) => void;
    /** Sets the peers among which the probes of this zone are divided. */
    readonly setPeers: (peers: readonly string[]) => void;
    /** Applies evidence that a peer sent no earlier than `sentAtMs` on this process's clock. */
    readonly applyPeerEvidence: (peer: string, news: EvidenceUpdate, sentAtMs: number) => void;
    readonly resetPeerEvidence: (peer: string) => void;
    /** Applies a peer's copy of the zone, but only the parts that are newer than this process's own. */
    readonly applyPeerZone: (zone: ZoneMessage) => void;
    readonly stop: () => void;
};

/** The mutable state of the task. */
type State = {
    snapshot: Snapshot;
    list: InstanceList;
    instanceListRead: boolean;
    groups: readonly GroupRow[];
    rows: ReadonlyMap<string, KeyedRow>;
    headVersion: number | undefined;
    groupsVersion: number | undefined;
    evidence: ReadonlyMap<string, Evidence>;
    readonly probeEvidence: Map<string, ProbeEvidence>;
    readingGroups: boolean;
    readingInstances: boolean;
};

export function startFleet(context: ProcessContext, hash: Hash): Fleet {
    const { settings, timer } = context;
    const { intervals } = settings;
    const source = makeValuePublisher(emptyZone);
    const send = (message: Message): void => mailbox.send(message);
    const probeScheduler = makeProbeScheduler({
        process: settings.process.id,
        availabilityZone: settings.process.availabilityZone,
        probersPerInstance: settings.peers.probeOverlap,
        evidenceMaxAgeMs: intervals.evidenceMaxAgeMs,
        timer,
        hash,
        onProbesSent: (cause, count) => context.metrics.probes.inc({ cause }, count),
        onEvidence: (instance, evidence) => send({ kind: "probeEvidence", instance, evidence }),
    });
    const mailbox: Mailbox<Message> = startTask<Message>({
        name: "fleet",
        onFatalError: context.onFatalError,
        handlers: makeHandlers({ context, source, probeScheduler, send }),
    });
    const cancels = [
        timer.every(intervals.instanceListPollMs, () => send({ kind: "pollInstances" })),
        timer.every(intervals.groupPollMs, () => send({ kind: "pollGroups" })),
        timer.every(intervals.probeMs, () => send({ kind: "probe" })),
        timer.every(intervals.judgeMs, () => send({ kind: "evaluate" })),
    ];
    send({ kind: "pollInstances" });
    send({ kind: "pollGroups" });
    return {
        feed: source,
        refreshGroups: () => send({ kind: "pollGroups" }),
        setSnapshot: snapshot => send({ kind: "snapshot", snapshot }),
        setPeers: peers => send({ kind: "peers", peers }),
        applyPeerEvidence: (peer, news, sentAtMs) => send({ kind: "peerEvidence", peer, news, sentAtMs }),
        resetPeerEvidence: peer => send({ kind: "peerEvidenceReset", peer }),
        applyPeerZone: zone => send({ kind: "peerZone", zone }),
        stop: () => {
            cancels.forEach(cancel => cancel());
            probeScheduler.stop();
            mailbox.close();
        },
    };
}

type HandlerOptions = {
    readonly context: ProcessContext;
    readonly source: ValuePublisher<ObservedZone>;
    readonly probeScheduler: ProbeScheduler;
    readonly send: (message: Message) => void;
};

function makeHandlers({ context, source, probeScheduler, send }: HandlerOptions) {
    const { settings, timer, log } = context;
    const evidenceStore = makeEvidenceStore();
    const state = makeInitialState();
    const { readInstances, readGroups } = makePlatformReaders(context, state, send);

    return {
        snapshot: ({ snapshot }: { readonly snapshot: Snapshot }) => {
            state.snapshot = snapshot;
        },
        pollInstances: () => {
            if (!state.readingInstances) {
                state.readingInstances = true;
                void readInstances();
            }
        },
        instances: ({ list }: { readonly list: InstanceList | undefined }) => {
            state.readingInstances = false;
            if (list !== undefined) {
                state.list = list;
                state.instanceListRead = true;
                dropUnlistedInstances(state, evidenceStore);
            }
        },
        pollGroups: () => {
            if (!state.readingGroups) {
                state.readingGroups = true;
                void readGroups();
            }
        },
        groups: ({ headVersion, rows }: { readonly headVersion: number; readonly rows: readonly KeyedRow[] }) => {
            state.readingGroups = false;
            state.headVersion = headVersion;
            state.rows = new Map(rows.map(row => [row.key, row]));
            if (headVersion >= (state.groupsVersion ?? headVersion)) {
                state.groupsVersion = headVersion;
                state.groups = rows.filter(row => row.key.startsWith("group/")).map(row => GroupRow.parse(row.body));
                log.info("groupsRead", { headVersion, groups: state.groups.length });
            }
        },
        groupsReadEnded: () => {
            state.readingGroups = false;
        },
        peerZone: ({ zone }: { readonly zone: ZoneMessage }) => applyPeerZone(state, zone, context),
        peers: ({ peers }: { readonly peers: readonly string[] }) => probeScheduler.setPeers(peers),
        peerEvidence: ({ peer, news, sentAtMs }: Extract<Message, { readonly kind: "peerEvidence" }>) =>
            evidenceStore.applyPeerUpdate(peer, news, sentAtMs),
        peerEvidenceReset: ({ peer }: { readonly peer: string }) => evidenceStore.forgetPeer(peer),
        probe: () => probeScheduler.probe(state),
        probeEvidence: ({ instance, evidence }: Extract<Message, { readonly kind: "probeEvidence" }>) => {
            evidenceStore.noteOwnEvidence(instance, evidence);
            state.probeEvidence.set(instance, evidence);
        },
        evaluate: () => {
            const nowMs = timer.nowMs();
            state.evidence = evidenceStore.best();
            const groupStatuses = evaluateZone({ ...state, nowMs, maxAgeMs: settings.intervals.evidenceMaxAgeMs });
            logStatusChanges(context, source.latest().groupStatuses, groupStatuses);
            const { instances, entries } = state.list;
            const probeEvidence = new Map(
                [...state.probeEvidence].filter(([instance]) => probeScheduler.isAssigned(instance)),
            );
            const { instanceListRead, groups, evidence, rows, headVersion, groupsVersion } = state;
            const result = { groupStatuses, evidence, probeEvidence, evaluatedAtMs: nowMs };
            source.publish({
                instances,
                entries,
                instanceListRead,
                groups,
                rows,
                headVersion,
                groupsVersion,
                ...result,
            });
        },
    };
}

function makeInitialState(): State {
    return {
        snapshot: emptySnapshot,
        list: { instances: [], entries: [] },
        instanceListRead: false,
        groups: [],
        rows: new Map(),
        headVersion: undefined,
        groupsVersion: undefined,
        evidence: new Map(),
        probeEvidence: new Map(),
        readingGroups: false,
        readingInstances: false,
    };
}

/** Reads from the platform; the results are sent to the task as messages. */
function makePlatformReaders(context: ProcessContext, state: State, send: (message: Message) => void) {
    const { metrics, instanceListClient } = context;
    return {
        readInstances: async (): Promise<void> => {
            const outcome = await instanceListClient.list();
            if (outcome.kind !== "done") {
                metrics.platformErrors.inc({ call: "listInstances" });
            }
            send({ kind: "instances", list: outcome.kind === "done" ? outcome.value : undefined });
        },
        readGroups: async (): Promise<void> => {
            const read = await readZone(context, state.headVersion);
            if (read.kind === "unavailable") {
                metrics.platformErrors.inc({ call: "readGroups" });
            }
            send(read.kind === "changed" ? { ...read, kind: "groups" } : { kind: "groupsReadEnded" });
        },
    };
}

function dropUnlistedInstances(state: State, evidenceStore: ReturnType<typeof makeEvidenceStore>): void {
    const members = state.groups.flatMap(group => group.members.map(member => member.instance));
    const known = new Set([...state.list.instances.map(instance => instance.instance), ...members]);
    evidenceStore.retain(known);
    [...state.probeEvidence.keys()].filter(name => !known.has(name)).forEach(name => state.probeEvidence.delete(name));
}

/**
 * Uses a peer's copy of the instance list only until this process has read the platform's own list, and a peer's groups
 * only if their version is higher.
 */
function applyPeerZone(state: State, zone: ZoneMessage, { log }: ProcessContext): void {
    if (!state.instanceListRead && zone.instances.length > 0) {
        state.list = { ...state.list, instances: zone.instances };
    }
    if (zone.version > (state.groupsVersion ?? -Infinity)) {
        state.groupsVersion = zone.version;
        state.groups = zone.groups;
        log.info("groupsHeard", { version: zone.version, groups: zone.groups.length });
    }
}
