/**
 * What this process believes: the newest configuration, and the upstreams as they registered themselves.
 *
 * Both only move forward. A configuration is taken if its version is higher; a record if its revision is. Where a record
 * was removed, the revision of the removal is kept, so that an older copy from elsewhere cannot bring it back.
 */
import { makeRouteTable, type RouteTable } from "@rattanquay/core";
import { type ServingConfig, type UpstreamRecord } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type GatewayMetrics } from "../metrics";

/** Where a belief came from. */
export type Origin = "store" | "peer";

/** A record with the revision of the transaction that wrote it. */
export type Dated<T> = { readonly value: T; readonly revision: number };

export type RemovedId = { readonly id: string; readonly revision: number };

export type Beliefs = {
    readonly routes: () => RouteTable | undefined;
    readonly configuration: () => ServingConfig | undefined;
    readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
    readonly dated: () => readonly Dated<UpstreamRecord>[];
    readonly removals: () => readonly RemovedId[];
    /** Whether the list of upstreams was read whole at least once. */
    readonly knowsUpstreams: () => boolean;
    /** The newest revision at which the list is known to be whole. */
    readonly asOf: () => number;
    readonly takeConfiguration: (config: ServingConfig, origin: Origin) => void;
    readonly takeRecords: (records: readonly Dated<UpstreamRecord>[], origin: Origin) => void;
    readonly takeRemovals: (removed: readonly RemovedId[], origin: Origin) => void;
    /** Notes that all records as of a revision have been taken in; whatever is older and not among them is gone. */
    readonly takeWholeList: (records: readonly Dated<UpstreamRecord>[], asOf: number, origin: Origin) => void;
    /** Notes that all changes up to a revision have been taken in. */
    readonly noteAsOf: (revision: number) => void;
    /** Called with the ids that changed. */
    readonly onUpstreams: (listener: (ids: readonly string[]) => void) => void;
};

/** Removals that are remembered; the oldest are forgotten. */
const keptRemovals = 2_000;

export function makeBeliefs(log: Log, metrics: GatewayMetrics): Beliefs {
    let table: RouteTable | undefined;
    let asOf = 0;
    let knowsAll = false;
    const records = new Map<string, Dated<UpstreamRecord>>();
    const removed = new Map<string, number>();
    let view: ReadonlyMap<string, UpstreamRecord> = new Map();
    const listeners = new Set<(ids: readonly string[]) => void>();

    const publish = (ids: readonly string[]): void => {
        if (ids.length === 0) {
            return;
        }
        view = new Map([...records].map(([id, { value }]) => [id, value]));
        metrics.upstreams.set(view.size);
        listeners.forEach(listener => listener(ids));
    };
    const put = ({ value, revision }: Dated<UpstreamRecord>): boolean => {
        const known = records.get(value.id)?.revision ?? removed.get(value.id) ?? 0;
        if (revision <= known) {
            return false;
        }
        records.set(value.id, { value, revision });
        removed.delete(value.id);
        return true;
    };
    const drop = ({ id, revision }: RemovedId): boolean => {
        const known = records.get(id);
        if (revision > (removed.get(id) ?? 0) && revision > (known?.revision ?? 0)) {
            removed.set(id, revision);
            forgetOldest(removed);
            return records.delete(id);
        }
        return false;
    };
    const takeRecords: Beliefs["takeRecords"] = (dated, origin) => {
        const changed = dated.filter(put);
        changed.forEach(({ value, revision }) => log.info("upstreamSeen", { ...summary(value), revision, origin }));
        publish(changed.map(({ value }) => value.id));
    };
    const takeRemovals: Beliefs["takeRemovals"] = (gone, origin) => {
        const changed = gone.filter(drop);
        changed.forEach(({ id, revision }) => log.info("upstreamGone", { upstream: id, revision, origin }));
        publish(changed.map(({ id }) => id));
    };
    return {
        routes: () => table,
        configuration: () => table?.config,
        upstreams: () => view,
        dated: () => [...records.values()],
        removals: () => [...removed].map(([id, revision]) => ({ id, revision })),
        knowsUpstreams: () => knowsAll,
        asOf: () => asOf,
        takeConfiguration: (config, origin) => {
            if (table !== undefined && config.version <= table.version) {
                return;
            }
            log.info("configurationInForce", { version: config.version, before: table?.version, origin });
            table = makeRouteTable(config);
            metrics.configVersion.set(config.version);
        },
        takeRecords,
        takeRemovals,
        takeWholeList: (dated, revision, origin) => {
            const listed = new Set(dated.map(({ value }) => value.id));
            const missing = [...records.values()].filter(known =>
                !listed.has(known.value.id) && known.revision < revision
            );
            takeRecords(dated, origin);
            takeRemovals(missing.map(({ value }) => ({ id: value.id, revision })), origin);
            knowsAll = true;
            asOf = Math.max(asOf, revision);
        },
        noteAsOf: revision => {
            asOf = knowsAll ? Math.max(asOf, revision) : asOf;
        },
        onUpstreams: listener => {
            listeners.add(listener);
        },
    };
}

function forgetOldest(removed: Map<string, number>): void {
    if (removed.size > keptRemovals) {
        removed.delete(removed.keys().next().value!);
    }
}

function summary({ id, service, availabilityZone, isDraining, bornAtMs, membership }: UpstreamRecord) {
    const group = membership === undefined
        ? undefined
        : `${membership.group}/${membership.rank}/${membership.state}`;
    return { upstream: id, service, availabilityZone, isDraining, bornAtMs, group };
}
