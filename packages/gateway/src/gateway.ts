/** Starts the components of a gateway process and stops them in order. */
import { makePredictionBiases, makeSharedRetryBudget } from "@rattanquay/core";
import { sleep, type Timer } from "@rattanquay/timer";
import { watchClusterState } from "./clusterState";
import { type Planning, startPlanning } from "./control";
import { type ExchangeDependencies, makeStallWatch, makeUnreadableAnswers, serveRequest } from "./exchange";
import { type GatewayContext } from "./gatewayContext";
import { type Lifetime, makeLifetime } from "./lifetime";
import {
    type CallerListener,
    type Serve,
    startCallerListener,
    startMetricsListener,
    startReadinessListener,
} from "./listeners";
import { type Peers, startPeers } from "./peers";
import { Quarantine } from "./quarantine";
import { makeUpstreamRegistry } from "./upstreams";

export type GatewayOptions = GatewayContext;

export type Gateway = {
    readonly isReady: () => boolean;
    /** Shuts down gracefully. Resolves to the number of requests that were cut off at the end of the grace period. */
    readonly stop: () => Promise<{ readonly cut: number }>;
    /** Stops everything at once, as a crash would; for tests and broken invariants. */
    readonly kill: () => void;
};

/**
 * The load balancer checks once a second and removes a process after two failures; the rest covers late connections.
 */
const balancerNoticeMs = 2_600;
/** Reserved before the end of the grace period, so that a process short of CPU time still stops by itself. */
const graceMarginMs = 700;
const stopCheckMs = 50;
/** Minimum number of gateway instances that are assumed to share the retry budget. */
const minInstances = 8;

export async function startGateway(context: GatewayOptions): Promise<Gateway> {
    const { settings, timer, log, metrics } = context;
    const components: { planning?: Planning; peers?: Peers } = {};
    let requests = 0;
    const instances = (): number => Math.max(components.peers?.instances() ?? 0, minInstances);
    const isPlanner = (): boolean => components.planning?.isPlanner() === true;
    const clusterStateWatch = watchClusterState(context, isPlanner);
    const { clusterState } = clusterStateWatch;
    const registry = makeUpstreamRegistry(clusterState);
    const stallWatch = makeStallWatch(timer);
    const lifetime = makeLifetime();
    const quarantine = new Quarantine(context, registry, () => components.peers?.instances() ?? 1);
    const budget = makeSharedRetryBudget(settings.bounds.repeats);
    const dependencies: ExchangeDependencies = {
        context,
        clusterState,
        registry,
        budget,
        instances,
        stallWatch,
        unreadableAnswers: makeUnreadableAnswers(context),
        lifetime,
        quarantine,
        biases: makePredictionBiases(),
    };
    const isStopping = (): boolean => lifetime.stoppingSinceMs() !== undefined;
    const isReady = (): boolean =>
        !isStopping() && clusterState.routes() !== undefined && clusterState.hasCompleteList();

    const readinessListener = await startReadinessListener(settings.listeners.readiness, isReady);
    const metricsListener = await startMetricsListener(settings.listeners.metrics, () => metrics.registry.metrics());
    const serve: Serve = (request, response, connection) => {
        requests++;
        return serveRequest(request, response, connection, dependencies);
    };
    const callerListener = await startCallerListener(serve, clusterState, context);
    const peers = await startPeers(context, clusterStateWatch, registry, {
        isPlanner,
        receiveProbeReport: report => components.planning?.receiveProbeReport(report),
    }, quarantine);
    const planning = startPlanning({
        context,
        clusterState,
        candidacy: peers.candidacy,
        isZoneProber: peers.isFirstOfZone,
        tellInstance: peers.tellInstance,
        ownTraffic: () => requests > 0,
        progressAtMs: id => registry.get(id)?.load.progressAtMs() ?? -Infinity,
        passOrder: peers.passOrder,
    });
    Object.assign(components, { planning, peers });
    log.info("started", { instance: settings.instance, availabilityZone: settings.availabilityZone });

    const kill = (): void => {
        peers.close();
        planning.close();
        callerListener.close();
        readinessListener.close();
        metricsListener.close();
        clusterStateWatch.stop();
        stallWatch.stop();
        quarantine.stop();
        registry.stop();
    };
    const stop = async (): Promise<{ readonly cut: number }> => {
        lifetime.beginStop(timer.nowMs());
        log.info("leaving", { inFlight: callerListener.inFlight(), connections: callerListener.openConnections() });
        const deadlineMs = timer.nowMs() + settings.bounds.graceMs - graceMarginMs;
        // Not awaited: the store may not answer, and finishing callers' requests takes precedence.
        const releases = Promise.all([planning.release(), peers.leave()]);
        releases.catch(error => context.onFatalError("leaving", error));
        const cut = await drain(callerListener, lifetime, timer, deadlineMs);
        kill();
        log.info("stopped", { cut });
        return { cut };
    };
    return { isReady, stop, kill };
}

/** Serves until the load balancer has noticed, then waits for running requests. Resolves to how many were cut off. */
async function drain(
    callerListener: CallerListener,
    lifetime: Lifetime,
    timer: Timer,
    deadlineMs: number,
): Promise<number> {
    callerListener.startDraining();
    await sleep(timer, balancerNoticeMs);
    callerListener.closeIdle();
    while (callerListener.inFlight() + callerListener.openConnections() > 0 && timer.nowMs() < deadlineMs) {
        await sleep(timer, stopCheckMs);
        callerListener.closeIdle();
    }
    const cut = callerListener.inFlight();
    lifetime.giveUp();
    return cut;
}
