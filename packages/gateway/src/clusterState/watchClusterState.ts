/** Keeps the cluster state up to date from the store's tables of configuration, evacuations and upstreams. */
import { type GatewayContext } from "../gatewayContext";
import { makeRowFaults } from "../rowFaults";
import { type ClusterState, makeClusterState } from "./clusterState";
import { makeConfigurationReader } from "./configurationReader";
import { makeEvacuationReader } from "./evacuationReader";
import { longestWaitMs, type TableWatch, watchTable } from "./tableWatch";
import { makeUpstreamReader } from "./upstreamReader";

export type ClusterStateWatch = {
    readonly clusterState: ClusterState;
    readonly configuration: TableWatch;
    readonly upstreams: TableWatch;
    /** Whether the local state is confirmed by a recent answer of the store. */
    readonly isCurrent: () => boolean;
    /** Sets whether others rely on `isCurrent`, which must then notice within a second that the store is silent. */
    readonly setRelaying: (isRelaying: boolean) => void;
    /** Sets whether relays provide the state, which then precedes a full read after the store has come back from a copy. */
    readonly setFollowing: (isFollowing: boolean) => void;
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
/**
 * When the store has come back from a copy, relays read its tables at once. The processes that follow them wait this long for
 * what they pass on, since a full read by each process at the same moment would be a burst of calls.
 */
const minRestoredDelayMs = 400;
const maxRestoredDelayMs = 1_000;

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
    let isFollowing = false;
    const restoredDelayMs = (): number =>
        isFollowing && !isRelaying && !isPlanner()
            ? minRestoredDelayMs + (maxRestoredDelayMs - minRestoredDelayMs) * context.random()
            : 0;
    clusterState.onEra(era => timer.after(removalGraceMs, () => clusterState.settle(era)));
    const maxWaitMs = (): number => isRelaying ? Math.min(relayWaitMs, longestMs) : longestMs;
    const { configuration: configSource, upstreams: upstreamSource } = ports.sources;
    const evacuations = makeEvacuationReader(ports.sources.evacuations, clusterState.evacuations, faults);

    const configurations = makeConfigurationReader(configSource, clusterState, faults);
    const configuration = watchTable({
        table: configSource.table,
        minPollMs: () => 0,
        maxWaitMs,
        knownRevision: clusterState.operatorRowsAsOf,
        restoredDelayMs,
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
        restoredDelayMs,
        reader: makeUpstreamReader(upstreamSource, clusterState, faults, afterOutage),
    }, context);
    return {
        clusterState,
        configuration,
        upstreams,
        isCurrent: () => isAnswered(configuration) && isAnswered(upstreams),
        setRelaying: next => {
            isRelaying = next;
        },
        setFollowing: next => {
            isFollowing = next;
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
