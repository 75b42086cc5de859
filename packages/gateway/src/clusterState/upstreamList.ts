/**
 * The list of registered upstreams, as the store and peers state it.
 *
 * A record replaces one of a lower position. The position of a removal is kept as a tombstone, so that an older copy from a peer
 * cannot restore the record.
 *
 * A complete list of a newer era of the store begins that era here, and ends what earlier eras state. What the list lacks of
 * the records known before, or contradicts, was lost with the store's last writes or is gone. Its writer writes it again if it
 * lives, so the known record stays in use until `settle`.
 */
import { describePosition, eraOf, type StorePosition, type UpstreamRecord } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type Origin } from "./origin";
import { afterWaiting, type Revisioned, rowsThatWait } from "./restoredRows";

export type RemovedId = { readonly id: string; readonly revision: StorePosition };

export type UpstreamList = {
    readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
    /** The rows as the store holds them, for peers; those that only stay in use until `settle` are not among them. */
    readonly storedRecords: () => readonly Revisioned<UpstreamRecord>[];
    readonly removals: () => readonly RemovedId[];
    /** The position from which on all removals are known. One who knows the list as of an earlier one needs it whole. */
    readonly removalsSince: () => StorePosition;
    /** Whether the complete list of upstreams was received at least once. */
    readonly hasCompleteList: () => boolean;
    /** The newest position at which the list is known to be complete. Its era is the one of the list. */
    readonly asOf: () => StorePosition;
    /** The position of the newest change that was applied to the list. */
    readonly newestChange: () => StorePosition;
    readonly applyRecords: (records: readonly Revisioned<UpstreamRecord>[], origin: Origin) => void;
    readonly applyRemovals: (removed: readonly RemovedId[], origin: Origin) => void;
    /** Applies the complete list as of a position; older records of its era that are not in it are removed. */
    readonly applySnapshot: (
        records: readonly Revisioned<UpstreamRecord>[],
        asOf: StorePosition,
        origin: Origin,
    ) => void;
    /** Records that all changes up to a position have been applied. */
    readonly advanceAsOf: (position: StorePosition) => void;
    /** Ends the use of what was known before an era began, unless a newer one has begun. */
    readonly settle: (era: number) => void;
};

export type UpstreamListOptions = {
    readonly log: Log;
    /** Called with the ids that changed. */
    readonly onChange: (ids: readonly string[]) => void;
    /** Called when an era has replaced another one. */
    readonly onEra: (era: number) => void;
};

type BeginEra = (
    listed: readonly Revisioned<UpstreamRecord>[],
    position: StorePosition,
    origin: Origin,
) => readonly Revisioned<UpstreamRecord>[];

/** A change as logged. */
type UpstreamChange = { readonly upstream: string; readonly era: number; readonly revision: number };

const changesPerLine = 40;
/** Maximum number of tombstones; the oldest are dropped. */
const maxTombstones = 2_000;

export function makeUpstreamList({ log, onChange, onEra }: UpstreamListOptions): UpstreamList {
    let asOf: StorePosition = 0;
    let newestChange: StorePosition = 0;
    let hasCompleteList = false;
    let removalsSince: StorePosition = 0;
    const records = new Map<string, Revisioned<UpstreamRecord>>();
    const tombstones = new Map<string, StorePosition>();
    /** Rows of the era of the list that wait until `settle`. */
    const waiting = new Map<string, Revisioned<UpstreamRecord>>();
    let currentUpstreams: ReadonlyMap<string, UpstreamRecord> = new Map();

    const isOfEarlierEra = (position: StorePosition): boolean => eraOf(position) < eraOf(asOf);
    const publish = (ids: readonly string[]): void => {
        if (ids.length > 0) {
            currentUpstreams = new Map([...records].map(([id, { value }]) => [id, value]));
            onChange(ids);
        }
    };
    const applyRecord = ({ value, revision }: Revisioned<UpstreamRecord>): boolean => {
        const known = records.get(value.id)?.revision ?? tombstones.get(value.id) ?? 0;
        if (revision <= known || isOfEarlierEra(revision)) {
            return false;
        }
        waiting.delete(value.id);
        records.set(value.id, { value, revision });
        newestChange = Math.max(newestChange, revision);
        tombstones.delete(value.id);
        return true;
    };
    const applyRemoval = ({ id, revision }: RemovedId): boolean => {
        const known = records.get(id)?.revision ?? 0;
        if (isOfEarlierEra(revision) || revision <= Math.max(known, tombstones.get(id) ?? 0)) {
            return false;
        }
        waiting.delete(id);
        tombstones.set(id, revision);
        newestChange = Math.max(newestChange, revision);
        removalsSince = Math.max(removalsSince, dropOldest(tombstones) ?? 0);
        return records.delete(id);
    };
    const applyRecords: UpstreamList["applyRecords"] = (dated, origin) => {
        const changed = dated.filter(applyRecord);
        logChanges(log, changed.map(recordChange), origin);
        publish(changed.map(({ value }) => value.id));
    };
    const applyRemovals: UpstreamList["applyRemovals"] = (gone, origin) => {
        const changed = gone.filter(applyRemoval);
        logChanges(log, changed.map(removalChange), origin);
        publish(changed.map(({ id }) => id));
    };
    /** Begins the era of a list: rows that contradict what is known wait. Returns the others. */
    const beginEra: BeginEra = (listed, position, origin) => {
        waiting.clear();
        rowsThatWait(listed, records).forEach(row => waiting.set(row.value.id, row));
        const kept = { waiting: waiting.size, missing: missingFrom(listed, records).length };
        const era = { ...describePosition(position), before: eraOf(asOf), origin };
        log.info("storeEraBegan", { part: "upstreams", ...era, ...kept, droppedRemovals: tombstones.size });
        tombstones.clear();
        asOf = position;
        newestChange = position;
        return listed.filter(({ value }) => !waiting.has(value.id));
    };
    return {
        upstreams: () => currentUpstreams,
        storedRecords: () => [
            ...[...records.values()].filter(({ revision }) => !isOfEarlierEra(revision)),
            ...waiting.values(),
        ],
        removals: () => [...tombstones].map(([id, revision]) => ({ id, revision })),
        removalsSince: () => removalsSince,
        hasCompleteList: () => hasCompleteList,
        asOf: () => asOf,
        newestChange: () => newestChange,
        applyRecords,
        applyRemovals,
        applySnapshot: (listed, position, origin) => {
            if (isOfEarlierEra(position)) {
                return;
            }
            const isNewEra = hasCompleteList && eraOf(position) > eraOf(asOf);
            applyRecords(isNewEra ? beginEra(listed, position, origin) : listed, origin);
            const missing = missingFrom(listed, records).filter(({ revision }) =>
                revision < position && !isOfEarlierEra(revision)
            );
            applyRemovals(missing.map(({ value }) => ({ id: value.id, revision: position })), origin);
            hasCompleteList = true;
            removalsSince = Math.max(removalsSince, position);
            asOf = Math.max(asOf, position);
            if (isNewEra) {
                onEra(eraOf(position));
            }
        },
        advanceAsOf: position => {
            asOf = hasCompleteList && eraOf(position) === eraOf(asOf) ? Math.max(asOf, position) : asOf;
        },
        settle: era => {
            if (eraOf(asOf) !== era) {
                return;
            }
            const replaced = afterWaiting(waiting, records);
            applyRecords(replaced, "store");
            const removed = [...records.values()].filter(({ revision }) => isOfEarlierEra(revision));
            applyRemovals(removed.map(({ value }) => ({ id: value.id, revision: asOf })), "store");
            const counts = { replaced: replaced.length, removed: removed.length };
            log.info("storeEraSettled", { part: "upstreams", era, ...counts });
        },
    };
}

/** Returns the known records that a list lacks. */
function missingFrom(
    listed: readonly Revisioned<UpstreamRecord>[],
    known: ReadonlyMap<string, Revisioned<UpstreamRecord>>,
): readonly Revisioned<UpstreamRecord>[] {
    const ids = new Set(listed.map(({ value }) => value.id));
    return [...known.values()].filter(({ value }) => !ids.has(value.id));
}

/** Logs many changes in few lines: each process of a large fleet sees every change. */
function logChanges(log: Log, changes: readonly UpstreamChange[], origin: Origin): void {
    for (let start = 0; start < changes.length; start += changesPerLine) {
        log.info("upstreamsChanged", { origin, changes: changes.slice(start, start + changesPerLine) });
    }
}

/** Returns the position of the removal that was dropped, if there were too many. */
function dropOldest(tombstones: Map<string, StorePosition>): StorePosition | undefined {
    if (tombstones.size <= maxTombstones) {
        return undefined;
    }
    const [id, revision] = tombstones.entries().next().value!;
    tombstones.delete(id);
    return revision;
}

function recordChange({ value, revision }: Revisioned<UpstreamRecord>) {
    const { id, service, availabilityZone, isDraining, bornAtMs, membership } = value;
    const group = membership === undefined
        ? undefined
        : `${membership.group}/${membership.rank}/${membership.state}`;
    return { upstream: id, service, availabilityZone, isDraining, bornAtMs, group, ...describePosition(revision) };
}

function removalChange({ id, revision }: RemovedId) {
    return { upstream: id, isGone: true, ...describePosition(revision) };
}
