/**
 * Follows the platform's instance list, the zone's group rows and the instances themselves, and publishes what may be
 * given work. Evidence is never carried over a restart and ages on this process's clock; what peers vouch for is dated
 * on this clock, too, before it counts.
 */
import {
    emptySnapshot,
    type Evidence,
    type Finding,
    type Hash,
    makeEvidenceBook,
    type Snapshot,
} from "@rattanquay/core";
import { type EvidenceNews, GroupRow, type InstanceList, type PassedZone } from "@rattanquay/schema";
import { type Stored } from "@rattanquay/table";
import { type Feed, type Mailbox, makeSource, type Source, startTask } from "@rattanquay/task";
import { type Surroundings } from "../surroundings";
import { judgeZone, logChanges } from "./judgeZone";
import { makeProbing, type Probing } from "./probing";
import { readZone } from "./readZone";
import { nothingKnown, type ZoneKnowledge } from "./zoneKnowledge";

type Message =
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot }
    | { readonly kind: "pollInstances" }
    | { readonly kind: "instances"; readonly list: InstanceList | undefined }
    | { readonly kind: "pollGroups" }
    | { readonly kind: "groups"; readonly headVersion: number; readonly rows: readonly Stored[] }
    | { readonly kind: "groupsReadEnded" }
    | { readonly kind: "passedZone"; readonly zone: PassedZone }
    | { readonly kind: "peers"; readonly peers: readonly string[] }
    | { readonly kind: "peerNews"; readonly peer: string; readonly news: EvidenceNews; readonly sentAtMs: number }
    | { readonly kind: "peerGone"; readonly peer: string }
    | { readonly kind: "probe" }
    | { readonly kind: "finding"; readonly instance: string; readonly finding: Finding }
    | { readonly kind: "judge" };

export type Fleet = {
    readonly feed: Feed<ZoneKnowledge>;
    /** Reads the groups again now, after this process has changed them. */
    readonly refreshGroups: () => void;
    readonly setSnapshot: (snapshot: Snapshot) => void;
    /** Says which peers share the probing of this zone. */
    readonly setPeers: (peers: readonly string[]) => void;
    /** Takes evidence from a peer, sent no earlier than `sentAtMs` on this process's clock. */
    readonly takeNews: (peer: string, news: EvidenceNews, sentAtMs: number) => void;
    readonly forgetNews: (peer: string) => void;
    /** Takes a zone as a peer knows it; it counts only where it is newer. */
    readonly takeZone: (zone: PassedZone) => void;
    readonly stop: () => void;
};

/** All that the task owns. */
type State = {
    snapshot: Snapshot;
    list: InstanceList;
    listKnown: boolean;
    groups: readonly GroupRow[];
    rows: ReadonlyMap<string, Stored>;
    headVersion: number | undefined;
    groupsVersion: number | undefined;
    evidence: ReadonlyMap<string, Evidence>;
    readonly findings: Map<string, Finding>;
    readingGroups: boolean;
    readingInstances: boolean;
};

export function startFleet(surroundings: Surroundings, hash: Hash): Fleet {
    const { settings, timer } = surroundings;
    const { intervals } = settings;
    const source = makeSource(nothingKnown);
    const send = (message: Message): void => mailbox.send(message);
    const probing = makeProbing({
        process: settings.process.id,
        availabilityZone: settings.process.availabilityZone,
        overlap: settings.peers.probeOverlap,
        evidenceMaxAgeMs: intervals.evidenceMaxAgeMs,
        timer,
        hash,
        onProbes: (cause, count) => surroundings.metrics.probes.inc({ cause }, count),
        onFinding: (instance, finding) => send({ kind: "finding", instance, finding }),
    });
    const mailbox: Mailbox<Message> = startTask<Message>({
        name: "fleet",
        onBroken: surroundings.onBroken,
        handlers: makeHandlers({ surroundings, source, probing, send }),
    });
    const cancels = [
        timer.every(intervals.instanceListPollMs, () => send({ kind: "pollInstances" })),
        timer.every(intervals.groupPollMs, () => send({ kind: "pollGroups" })),
        timer.every(intervals.probeMs, () => send({ kind: "probe" })),
        timer.every(intervals.judgeMs, () => send({ kind: "judge" })),
    ];
    send({ kind: "pollInstances" });
    send({ kind: "pollGroups" });
    return {
        feed: source,
        refreshGroups: () => send({ kind: "pollGroups" }),
        setSnapshot: snapshot => send({ kind: "snapshot", snapshot }),
        setPeers: peers => send({ kind: "peers", peers }),
        takeNews: (peer, news, sentAtMs) => send({ kind: "peerNews", peer, news, sentAtMs }),
        forgetNews: peer => send({ kind: "peerGone", peer }),
        takeZone: zone => send({ kind: "passedZone", zone }),
        stop: () => {
            cancels.forEach(cancel => cancel());
            probing.stop();
            mailbox.close();
        },
    };
}

type Parts = {
    readonly surroundings: Surroundings;
    readonly source: Source<ZoneKnowledge>;
    readonly probing: Probing;
    readonly send: (message: Message) => void;
};

function makeHandlers({ surroundings, source, probing, send }: Parts) {
    const { settings, timer, log } = surroundings;
    const book = makeEvidenceBook();
    const state = makeState();
    const { readInstances, readGroups } = makeReads(surroundings, state, send);

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
                state.listKnown = true;
                forgetUnlisted(state, book);
            }
        },
        pollGroups: () => {
            if (!state.readingGroups) {
                state.readingGroups = true;
                void readGroups();
            }
        },
        groups: ({ headVersion, rows }: { readonly headVersion: number; readonly rows: readonly Stored[] }) => {
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
        passedZone: ({ zone }: { readonly zone: PassedZone }) => takePassedZone(state, zone, surroundings),
        peers: ({ peers }: { readonly peers: readonly string[] }) => probing.setPeers(peers),
        peerNews: ({ peer, news, sentAtMs }: Extract<Message, { readonly kind: "peerNews" }>) =>
            book.noteNews(peer, news, sentAtMs),
        peerGone: ({ peer }: { readonly peer: string }) => book.forgetPeer(peer),
        probe: () => probing.probe(state),
        finding: ({ instance, finding }: Extract<Message, { readonly kind: "finding" }>) => {
            book.noteOwn(instance, finding);
            state.findings.set(instance, finding);
        },
        judge: () => {
            const nowMs = timer.nowMs();
            state.evidence = book.best();
            const standings = judgeZone({ ...state, nowMs, maxAgeMs: settings.intervals.evidenceMaxAgeMs });
            logChanges(surroundings, source.latest().standings, standings);
            const { instances, entries } = state.list;
            const findings = new Map([...state.findings].filter(([instance]) => probing.isShare(instance)));
            const { listKnown, groups, evidence, rows, headVersion, groupsVersion } = state;
            const judged = { standings, evidence, findings, judgedAtMs: nowMs };
            source.publish({ instances, entries, listKnown, groups, rows, headVersion, groupsVersion, ...judged });
        },
    };
}

function makeState(): State {
    return {
        snapshot: emptySnapshot,
        list: { instances: [], entries: [] },
        listKnown: false,
        groups: [],
        rows: new Map(),
        headVersion: undefined,
        groupsVersion: undefined,
        evidence: new Map(),
        findings: new Map(),
        readingGroups: false,
        readingInstances: false,
    };
}

/** Reads of the platform; what they bring comes back as messages. */
function makeReads(surroundings: Surroundings, state: State, send: (message: Message) => void) {
    const { metrics, instanceSource } = surroundings;
    return {
        readInstances: async (): Promise<void> => {
            const outcome = await instanceSource.list();
            if (outcome.kind !== "done") {
                metrics.platformErrors.inc({ call: "listInstances" });
            }
            send({ kind: "instances", list: outcome.kind === "done" ? outcome.value : undefined });
        },
        readGroups: async (): Promise<void> => {
            const read = await readZone(surroundings, state.headVersion);
            if (read.kind === "unavailable") {
                metrics.platformErrors.inc({ call: "readGroups" });
            }
            send(read.kind === "changed" ? { ...read, kind: "groups" } : { kind: "groupsReadEnded" });
        },
    };
}

function forgetUnlisted(state: State, book: ReturnType<typeof makeEvidenceBook>): void {
    const members = state.groups.flatMap(group => group.members.map(member => member.instance));
    const known = new Set([...state.list.instances.map(instance => instance.instance), ...members]);
    book.retain(known);
    [...state.findings.keys()].filter(name => !known.has(name)).forEach(name => state.findings.delete(name));
}

/** The platform's own list, once read, goes before a peer's copy of it; groups go by their version. */
function takePassedZone(state: State, zone: PassedZone, { log }: Surroundings): void {
    if (!state.listKnown && zone.instances.length > 0) {
        state.list = { ...state.list, instances: zone.instances };
    }
    if (zone.version > (state.groupsVersion ?? -Infinity)) {
        state.groupsVersion = zone.version;
        state.groups = zone.groups;
        log.info("groupsHeard", { version: zone.version, groups: zone.groups.length });
    }
}
