/** Tracks the record, load and connections of every upstream that is known here or still has requests from here. */
import { type AnnouncedState, makeAnnouncedState, makeUpstreamLoad, type UpstreamLoad } from "@rattanquay/core";
import { type UpstreamRecord } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";
import { ConnectionPool } from "./connectionPool";

export type KnownUpstream = {
    readonly record: UpstreamRecord;
    readonly load: UpstreamLoad;
    readonly announced: AnnouncedState;
    readonly pool: ConnectionPool;
};

export type UpstreamRegistry = {
    readonly get: (id: string) => KnownUpstream | undefined;
    /** Upstreams of a service without an engine that accept requests, outside evacuated zones. */
    readonly plain: (service: string) => readonly KnownUpstream[];
    /** Heads (members of rank 0) of the open groups that serve a model, outside evacuated zones. */
    readonly groupHeads: (service: string, model: string) => readonly KnownUpstream[];
    /** Upstreams that would accept requests of a service, and of a model if one is given, if no zone were evacuated. */
    readonly inAnyZone: (service: string, model: string | undefined) => readonly KnownUpstream[];
    /** Whether an upstream is expected to go on serving: it is listed and neither drains nor closes its group. */
    readonly isExpectedToServe: (id: string) => boolean;
    /** Requests of this process at each upstream that has any. */
    readonly localLoads: () => ReadonlyMap<string, number>;
    /** Milliseconds for which this process's long prompts hold up other requests, at each upstream that has any. */
    readonly localPrefills: (nowMs: number) => ReadonlyMap<string, number>;
    /**
     * Records a request to an upstream whose long prompt holds up other requests for `prefillMs`. The returned function
     * is to be called when its first event has arrived or it has ended.
     */
    readonly startPrefill: (upstream: KnownUpstream, prefillMs: number, nowMs: number) => () => void;
    /** Calls `listener` after each call of `startPrefill`. */
    readonly onPrefill: (listener: () => void) => void;
    /** Upstreams that this process suspects of having failed. */
    readonly doubts: (nowMs: number) => readonly string[];
    /** Upstreams that sent data to any gateway process within the last `withinMs`, and how long ago. */
    readonly progress: (nowMs: number, withinMs: number) => readonly Progress[];
    readonly stop: () => void;
};

export type Progress = { readonly upstream: string; readonly ageMs: number };

type Entry = {
    record: UpstreamRecord;
    readonly load: UpstreamLoad;
    readonly announced: AnnouncedState;
    readonly pool: ConnectionPool;
    isListed: boolean;
};

/** More than leave or pause at the same time in a fleet. */
const maxRemoved = 1_000;

export function makeUpstreamRegistry(clusterState: ClusterState): UpstreamRegistry {
    const entries = new Map<string, Entry>();
    const prefillListeners: (() => void)[] = [];
    /** Upstreams that were removed after an announcement: an entry can lapse and come back without a restart. Oldest first. */
    const removed = new Map<string, Pick<Entry, "record" | "announced">>();
    const removeIfUnused = (id: string, entry: Entry): void => {
        if (!entry.isListed && entry.load.own() === 0) {
            entry.pool.destroy();
            entries.delete(id);
            if (hasAnnounced(entry)) {
                removed.set(id, { record: entry.record, announced: entry.announced });
                [...removed.keys()].slice(0, -maxRemoved).forEach(oldest => removed.delete(oldest));
            }
        }
    };
    /** What the upstream has announced, if it was listed before and has not restarted since. */
    const announcedBefore = (id: string, record: UpstreamRecord): AnnouncedState => {
        const before = removed.get(id);
        removed.delete(id);
        return before === undefined || isNewIncarnation(before.record, record)
            ? makeAnnouncedState()
            : before.announced;
    };
    const update = (id: string): void => {
        const record = clusterState.upstreams().get(id);
        const entry = entries.get(id);
        if (record === undefined) {
            if (entry !== undefined) {
                entry.isListed = false;
                removeIfUnused(id, entry);
            }
            return;
        }
        if (entry === undefined || isNewIncarnation(entry.record, record)) {
            entries.set(id, {
                record,
                load: makeUpstreamLoad(),
                announced: announcedBefore(id, record),
                pool: new ConnectionPool(),
                isListed: true,
            });
            return;
        }
        const hasChangedGroup = groupOf(entry.record) !== groupOf(record);
        entry.record = record;
        entry.isListed = true;
        if (hasChangedGroup) {
            entry.load.clearSuspicion();
        }
    };
    clusterState.onUpstreams(ids => {
        ids.forEach(update);
        entries.forEach((entry, id) => removeIfUnused(id, entry));
    });
    const listed = (isWanted: (record: UpstreamRecord) => boolean): readonly KnownUpstream[] =>
        [...entries.values()].filter(({ isListed, record, announced }) =>
            isListed && !record.isDraining && !announced.isLeaving() && isWanted(record)
        );
    const isUsable = ({ record }: KnownUpstream): boolean => !clusterState.isEvacuated(record.availabilityZone);
    const inAnyZone: UpstreamRegistry["inAnyZone"] = (service, model) =>
        model === undefined
            ? listed(record => record.service === service)
            : listed(({ service: own, membership, loadedModels }) =>
                own === service && membership?.state === "open" && membership.rank === 0 && loadedModels.includes(model)
            );
    return {
        get: id => entries.get(id),
        plain: service => inAnyZone(service, undefined).filter(isUsable),
        groupHeads: (service, model) => inAnyZone(service, model).filter(isUsable),
        inAnyZone,
        isExpectedToServe: id => {
            const entry = entries.get(id);
            const { isDraining = true, membership } = entry?.record ?? {};
            return entry?.isListed === true && !isDraining && !entry.announced.isLeaving()
                && (membership?.state ?? "open") === "open";
        },
        localLoads: () =>
            new Map([...entries].flatMap(([id, { load }]) => load.own() > 0 ? [[id, load.own()] as const] : [])),
        localPrefills: nowMs =>
            new Map([...entries].flatMap(([id, { load }]) => {
                const prefillMs = Math.round(load.prefill.ownMs(nowMs));
                return prefillMs > 0 ? [[id, prefillMs] as const] : [];
            })),
        startPrefill: ({ load }, prefillMs, nowMs) => {
            const end = load.prefill.add(prefillMs, nowMs);
            try {
                prefillListeners.forEach(listener => listener());
            }
            catch (error) {
                end();
                throw error;
            }
            return end;
        },
        onPrefill: listener => void prefillListeners.push(listener),
        doubts: nowMs =>
            [...entries].flatMap(([id, { load, isListed }]) => isListed && load.isSuspectedLocally(nowMs) ? [id] : []),
        progress: (nowMs, withinMs) =>
            [...entries].flatMap(([upstream, { load, isListed }]) => {
                const ageMs = Math.round(nowMs - load.progressAtMs());
                return isListed && ageMs < withinMs ? [{ upstream, ageMs }] : [];
            }),
        stop: () => entries.forEach(({ pool }) => pool.destroy()),
    };
}

/** Whether the records differ in incarnation. A new incarnation starts with fresh load and connections. */
function isNewIncarnation(a: UpstreamRecord, b: UpstreamRecord): boolean {
    return a.bornAtMs !== b.bornAtMs || a.address !== b.address;
}

function hasAnnounced({ announced }: Entry): boolean {
    return announced.isLeaving() || announced.pausedUntilMs() > -Infinity;
}

function groupOf({ membership }: UpstreamRecord): string {
    return membership === undefined ? "" : `${membership.group}/${membership.epoch}/${membership.state}`;
}
