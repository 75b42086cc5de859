/**
 * Local view of the cluster state: the newest known configuration, the registered upstreams and the evacuated zones.
 *
 * Updates only move forward. A configuration replaces one of a lower version, and a record one of a lower revision. The
 * revision of a removal is kept as a tombstone, so that an older copy from a peer cannot restore the record.
 */
import { makeRouteTable, type RouteTable } from "@rattanquay/core";
import { type ServingConfig, type UpstreamRecord } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type GatewayMetrics } from "../metrics";
import { type ConfigurationAge, type ConfigurationEvidence, makeConfigurationAge } from "./configurationAge";
import { describeChanges } from "./configurationChanges";
import { type Evacuations, makeEvacuations } from "./evacuations";
import { type Origin } from "./origin";

/** A record with the revision of the transaction that wrote it. */
export type Revisioned<T> = { readonly value: T; readonly revision: number };

export type RemovedId = { readonly id: string; readonly revision: number };

export type ClusterState = {
    readonly routes: () => RouteTable | undefined;
    readonly configuration: () => ServingConfig | undefined;
    /** How new the configuration in force is known to be; undefined while there is none. */
    readonly configurationEvidence: () => ConfigurationEvidence | undefined;
    readonly configurationAge: ConfigurationAge;
    readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
    /** Whether no request may be sent to the upstreams of an availability zone. */
    readonly isEvacuated: (zone: string) => boolean;
    readonly evacuations: Evacuations;
    readonly revisionedRecords: () => readonly Revisioned<UpstreamRecord>[];
    readonly removals: () => readonly RemovedId[];
    /** Whether the complete list of upstreams was received at least once. */
    readonly hasCompleteList: () => boolean;
    /** The newest revision at which the list is known to be complete. */
    readonly asOf: () => number;
    /** The revision of the newest change that was applied to the list. */
    readonly newestChange: () => number;
    readonly applyConfiguration: (config: ServingConfig, origin: Origin) => void;
    readonly applyRecords: (records: readonly Revisioned<UpstreamRecord>[], origin: Origin) => void;
    readonly applyRemovals: (removed: readonly RemovedId[], origin: Origin) => void;
    /** Applies the complete list as of a revision; older records that are not in it are removed. */
    readonly applySnapshot: (records: readonly Revisioned<UpstreamRecord>[], asOf: number, origin: Origin) => void;
    /** Records that all changes up to a revision have been applied. */
    readonly advanceAsOf: (revision: number) => void;
    /** Adds a listener, which is called with the ids that changed. */
    readonly onUpstreams: (listener: (ids: readonly string[]) => void) => void;
    /** Adds a listener, which is called when another configuration has come into force. */
    readonly onConfiguration: (listener: () => void) => void;
};

/** A change as logged. */
type UpstreamChange = { readonly upstream: string; readonly revision: number };

const changesPerLine = 40;
/** Maximum number of tombstones; the oldest are dropped. */
const maxTombstones = 2_000;

/** `isListedZone` tells whether the settings name a zone, and `nowMs` dates the configuration. */
export function makeClusterState(
    log: Log,
    metrics: GatewayMetrics,
    isListedZone: (zone: string) => boolean = () => true,
    nowMs: () => number = () => 0,
): ClusterState {
    let table: RouteTable | undefined;
    let asOf = 0;
    let newestChange = 0;
    let hasCompleteList = false;
    const configurationAge = makeConfigurationAge();
    const records = new Map<string, Revisioned<UpstreamRecord>>();
    const tombstones = new Map<string, number>();
    let currentUpstreams: ReadonlyMap<string, UpstreamRecord> = new Map();
    const listeners = new Set<(ids: readonly string[]) => void>();
    const configurationListeners = new Set<() => void>();

    const evacuations = makeEvacuations(
        log,
        metrics,
        zone => isListedZone(zone) || [...records.values()].some(({ value }) => value.availabilityZone === zone),
    );
    const publish = (ids: readonly string[]): void => {
        if (ids.length === 0) {
            return;
        }
        currentUpstreams = new Map([...records].map(([id, { value }]) => [id, value]));
        metrics.upstreams.set(currentUpstreams.size);
        listeners.forEach(listener => listener(ids));
    };
    const applyRecord = ({ value, revision }: Revisioned<UpstreamRecord>): boolean => {
        const known = records.get(value.id)?.revision ?? tombstones.get(value.id) ?? 0;
        if (revision <= known) {
            return false;
        }
        records.set(value.id, { value, revision });
        newestChange = Math.max(newestChange, revision);
        tombstones.delete(value.id);
        return true;
    };
    const applyRemoval = ({ id, revision }: RemovedId): boolean => {
        const known = records.get(id);
        if (revision > (tombstones.get(id) ?? 0) && revision > (known?.revision ?? 0)) {
            tombstones.set(id, revision);
            newestChange = Math.max(newestChange, revision);
            dropOldest(tombstones);
            return records.delete(id);
        }
        return false;
    };
    const takeRecords: ClusterState["applyRecords"] = (dated, origin) => {
        const changed = dated.filter(applyRecord);
        logChanges(log, changed.map(({ value, revision }) => ({ ...summary(value), revision })), origin);
        publish(changed.map(({ value }) => value.id));
    };
    const takeRemovals: ClusterState["applyRemovals"] = (gone, origin) => {
        const changed = gone.filter(applyRemoval);
        logChanges(log, changed.map(({ id, revision }) => ({ upstream: id, isGone: true, revision })), origin);
        publish(changed.map(({ id }) => id));
    };
    return {
        routes: () => table,
        configuration: () => table?.config,
        configurationEvidence: configurationAge.evidence,
        configurationAge,
        upstreams: () => currentUpstreams,
        isEvacuated: evacuations.isEvacuated,
        evacuations,
        revisionedRecords: () => [...records.values()],
        removals: () => [...tombstones].map(([id, revision]) => ({ id, revision })),
        hasCompleteList: () => hasCompleteList,
        asOf: () => asOf,
        newestChange: () => newestChange,
        applyConfiguration: (config, origin) => {
            if (table !== undefined && config.version <= table.version) {
                return;
            }
            log.info("configurationInForce", { ...describeChanges(table?.config, config), origin });
            table = makeRouteTable(config);
            configurationAge.noteInForce(config.version, origin, nowMs());
            metrics.configVersion.set(config.version);
            configurationListeners.forEach(listener => listener());
        },
        applyRecords: takeRecords,
        applyRemovals: takeRemovals,
        applySnapshot: (dated, revision, origin) => {
            const listed = new Set(dated.map(({ value }) => value.id));
            const missing = [...records.values()].filter(known =>
                !listed.has(known.value.id) && known.revision < revision
            );
            takeRecords(dated, origin);
            takeRemovals(missing.map(({ value }) => ({ id: value.id, revision })), origin);
            hasCompleteList = true;
            asOf = Math.max(asOf, revision);
        },
        advanceAsOf: revision => {
            asOf = hasCompleteList ? Math.max(asOf, revision) : asOf;
        },
        onUpstreams: listener => {
            listeners.add(listener);
        },
        onConfiguration: listener => {
            configurationListeners.add(listener);
        },
    };
}

/** Logs many changes in few lines: each process of a large fleet sees every change. */
function logChanges(log: Log, changes: readonly UpstreamChange[], origin: Origin): void {
    for (let start = 0; start < changes.length; start += changesPerLine) {
        log.info("upstreamsChanged", { origin, changes: changes.slice(start, start + changesPerLine) });
    }
}

function dropOldest(tombstones: Map<string, number>): void {
    if (tombstones.size > maxTombstones) {
        tombstones.delete(tombstones.keys().next().value!);
    }
}

function summary({ id, service, availabilityZone, isDraining, bornAtMs, membership }: UpstreamRecord) {
    const group = membership === undefined
        ? undefined
        : `${membership.group}/${membership.rank}/${membership.state}`;
    return { upstream: id, service, availabilityZone, isDraining, bornAtMs, group };
}
