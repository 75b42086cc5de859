/** Keeps the cluster state up to date from the store's tables of configuration, evacuations and upstreams. */
import { type UpstreamRecord } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type RemovedRow, type StoredRow } from "../ports";
import { makeRowFaults } from "../rowFaults";
import { type ClusterState, makeClusterState, type Revisioned } from "./clusterState";
import { makeConfigurationReader } from "./configurationReader";
import { makeEvacuationReader } from "./evacuationReader";
import { longestWaitMs, type TableWatch, watchTable } from "./tableWatch";

export type ClusterStateWatch = {
    readonly clusterState: ClusterState;
    readonly configuration: TableWatch;
    readonly upstreams: TableWatch;
    /** Whether the local state is confirmed by a recent answer of the store. */
    readonly isCurrent: () => boolean;
    /** Sets whether others rely on `isCurrent`, which must then notice within a second that the store is silent. */
    readonly setRelaying: (isRelaying: boolean) => void;
    /** Asks the store at once for changes of the configuration and of evacuations. Resolves to whether it answered. */
    readonly confirm: () => Promise<boolean>;
    /** Suspends or resumes both watches. */
    readonly setActive: (isActive: boolean) => void;
    readonly stop: () => void;
};

/**
 * Minimum interval between two polls for upstream changes. The planner polls faster, because it sees the effects of its
 * orders in them. Other processes only need to notice leaving upstreams in time, and each poll has a cost.
 */
const plannerPollMs = 100;
const defaultPollMs = 600;
/**
 * A connection to the store can go silent without an error. A relay polls the configuration and the list this often even
 * without changes, and no longer counts as current when an answer about either is overdue. An answer that is arriving is
 * not overdue: a large configuration takes longer than this over a slow link.
 */
const relayWaitMs = 500;
const maxAnswerAgeMs = 850;
/**
 * Upstreams that are alive register again within about two seconds after a store outage in which their entries expired.
 * Removals around an outage are delayed by this time, so that these upstreams stay in use.
 */
const removalGraceMs = 2_000;

const isAnswered = (watch: TableWatch): boolean => watch.isCurrent() && watch.answerAgeMs() < maxAnswerAgeMs;

export function watchClusterState(context: GatewayContext, isPlanner: () => boolean): ClusterStateWatch {
    const { log, metrics, ports, settings, timer } = context;
    const faults = makeRowFaults(context);
    const clusterState = makeClusterState(
        log,
        metrics,
        zone => settings.regions === undefined || Object.hasOwn(settings.regions, zone),
        timer.nowMs,
    );
    const longestMs = longestWaitMs(settings.bounds.contactMs, ports.store.followSlackMs);
    let isRelaying = false;
    const maxWaitMs = (): number => isRelaying ? Math.min(relayWaitMs, longestMs) : longestMs;
    const { configuration: configSource, upstreams: upstreamSource } = ports.sources;
    const evacuations = makeEvacuationReader(ports.sources.evacuations, clusterState.evacuations, faults);

    const configurations = makeConfigurationReader(configSource, clusterState, faults);
    const configuration = watchTable({
        table: configSource.table,
        minPollMs: () => 0,
        maxWaitMs,
        knownRevision: () => 0,
        onUpToDate: configurations.noteUpToDate,
        reader: {
            onSnapshot: (rows, asOf) => {
                evacuations.onSnapshot(rows, asOf);
                configurations.read(rows);
            },
            onChanges: (changes, asOf) => {
                evacuations.onChanges(changes, asOf);
                configurations.read(changes.rows);
            },
        },
    }, context);

    /** Upstreams whose rows cannot be decoded any longer count as removed. */
    const decode = (rows: readonly StoredRow[]) => {
        const records: Revisioned<UpstreamRecord>[] = [];
        const unreadable: RemovedRow[] = [];
        for (const row of rows) {
            const value = faults.take(row, upstreamSource.decode(row));
            if (value === undefined) {
                unreadable.push(row);
            }
            else {
                records.push({ value, revision: row.revision });
            }
        }
        return { records, unreadable };
    };
    const afterOutage = (action: () => void): void => {
        const returnedAtMs = upstreams.returnedAtMs();
        const leftMs = returnedAtMs === undefined ? 0 : returnedAtMs + removalGraceMs - timer.nowMs();
        if (leftMs > 0) {
            timer.after(leftMs, action);
            return;
        }
        action();
    };
    const upstreams = watchTable({
        table: upstreamSource.table,
        minPollMs: () => isPlanner() ? plannerPollMs : defaultPollMs,
        maxWaitMs,
        knownRevision: clusterState.asOf,
        reader: {
            onSnapshot: (rows, asOf) => {
                const { records } = decode(rows);
                clusterState.applyRecords(records, "store");
                const isFirst = !clusterState.hasCompleteList();
                const applyList = (): void => clusterState.applySnapshot(records, asOf, "store");
                (isFirst ? (action: () => void) => action() : afterOutage)(applyList);
            },
            onChanges: ({ rows, removed }, asOf) => {
                const { records, unreadable } = decode(rows);
                clusterState.applyRecords(records, "store");
                const gone = [...removed, ...unreadable].map(({ key: id, revision }) => ({ id, revision }));
                // A peer that asks for the changes after a revision must not miss removals that are still delayed.
                afterOutage(() => {
                    clusterState.applyRemovals(gone, "store");
                    clusterState.advanceAsOf(asOf);
                });
            },
        },
    }, context);
    return {
        clusterState,
        configuration,
        upstreams,
        isCurrent: () => isAnswered(configuration) && isAnswered(upstreams),
        setRelaying: next => {
            isRelaying = next;
        },
        confirm: configuration.confirm,
        setActive: isActive => {
            configuration.setActive(isActive);
            upstreams.setActive(isActive);
        },
        stop: () => {
            configuration.stop();
            upstreams.stop();
        },
    };
}
