/** Starts the components of a gateway process and stops them in order. */
import {
    makeAdmissionHistory,
    makePredictionBiases,
    makeSharedRetryBudget,
    makeWorkspaceShares,
} from "@rattanquay/core";
import { sleep, type Timer } from "@rattanquay/timer";
import { anyTrue } from "./anyTrue";
import { startCallerMemory } from "./callerLimits";
import {
    type ClusterState,
    type ClusterStateWatch,
    type ConfigurationCheck,
    confirmedAgeMs,
    isEvacuationKnown,
    makeConfigurationCheck,
    reportUnknownRegions,
    watchClusterState,
} from "./clusterState";
import { startColdGate } from "./cold";
import { type Planning, startPlanning } from "./control";
import { errorFields } from "./errorFields";
import {
    type ExchangeDependencies,
    makePlacementGuard,
    makeStallWatch,
    makeUnreadableAnswers,
    makeUpstreamBytes,
    openPlacementGuard,
    type PlacementGuard,
    serveRequest,
} from "./exchange";
import { type GatewayContext } from "./gatewayContext";
import { type Lifetime, makeLifetime, type Stop } from "./lifetime";
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

/** The number of requests that were cut off at the end of the grace period. */
export type StopResult = { readonly cut: number };

export type Gateway = {
    readonly isReady: () => boolean;
    /** Shuts down gracefully, once: further calls get the same result. */
    readonly stop: () => Promise<StopResult>;
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
/** Time to send the error responses of requests that are aborted at the end of a stop. */
const abortNoticeMs = 200;
/** Minimum number of gateway instances that are assumed to share the retry budget. */
const minInstances = 8;
const msPerSecond = 1_000;

export async function startGateway(context: GatewayOptions): Promise<Gateway> {
    const { settings, timer, log, metrics } = context;
    const components: StartedComponents = {};
    let requests = 0;
    const instances = (): number => Math.max(components.peers?.instances() ?? 0, minInstances);
    const isPlanner = (): boolean => components.planning?.lease.mayPlan() === true;
    const clusterStateWatch = watchClusterState(context, isPlanner);
    const { clusterState } = clusterStateWatch;
    reportUnknownRegions(clusterState, context);
    const registry = makeUpstreamRegistry(clusterState);
    const coldGate = connectColdGate(context, clusterState, components);
    const stallWatch = makeStallWatch(timer);
    const callerMemory = startCallerMemory(clusterState, context);
    const lifetime = makeLifetime();
    const quarantine = new Quarantine(context, registry, () => components.peers?.instances() ?? 1);
    const workspaceShares = makeWorkspaceShares();
    const budget = makeSharedRetryBudget(settings.bounds.repeats);
    const guard = startGuard(
        context,
        () => anyTrue([clusterStateWatch.confirm(), components.peers?.confirmState() ?? Promise.resolve(false)]),
    );
    const configurationCheck = connectConfigurationCheck(clusterStateWatch, timer, components);
    const dependencies: ExchangeDependencies = {
        context,
        clusterState,
        configurationCheck,
        registry,
        coldGate,
        budget,
        instances,
        stallWatch,
        unreadableAnswers: makeUnreadableAnswers(context),
        guard,
        callerMemory,
        upstreamBytes: makeUpstreamBytes(callerMemory.limits.upstreamBytes),
        lifetime,
        quarantine,
        biases: makePredictionBiases(),
        admissions: makeAdmissionHistory(workspaceShares),
        workspaceShares,
    };
    const isReady = (): boolean =>
        lifetime.stop() === undefined && clusterState.routes() !== undefined && clusterState.hasCompleteList()
        && isEvacuationKnown(settings, clusterState);

    const readinessListener = await startReadinessListener(settings.listeners.readiness, isReady);
    const metricsListener = await startMetricsListener(settings.listeners.metrics, () => {
        const ageMs = confirmedAgeMs(clusterState.configurationEvidence(), timer.nowMs());
        metrics.configConfirmedAge.set(ageMs / msPerSecond);
        return metrics.registry.metrics();
    });
    const serve: Serve = (request, response, connection, isInExcess) => {
        requests++;
        return serveRequest(request, response, connection, isInExcess, dependencies);
    };
    const callerListener = await startCallerListener(serve, clusterState, context, callerMemory);
    const peers = await startPeers(context, clusterStateWatch, registry, {
        isPlanner,
        receiveProbeReport: report => components.planning?.receiveProbeReport(report),
        coldGrants: coldGate,
    }, { quarantine, workspaceShares, confirmWithStore: configurationCheck.confirmWithStore });
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
        [clusterStateWatch, stallWatch, guard, coldGate, callerMemory, quarantine, registry].forEach(part =>
            part.stop()
        );
    };
    const stopOnce = async (): Promise<StopResult> => {
        const sinceMs = timer.nowMs();
        const stop: Stop = {
            sinceMs,
            noticeEndsAtMs: sinceMs + balancerNoticeMs,
            endsAtMs: sinceMs + settings.bounds.graceMs - graceMarginMs,
        };
        lifetime.beginStop(stop);
        log.info("leaving", { inFlight: callerListener.inFlight(), connections: callerListener.openConnections() });
        // Not awaited: the store may not answer, and finishing callers' requests takes precedence.
        const releases = Promise.all([planning.release(), peers.leave()]);
        releases.catch((error: unknown) => log.error("leaveFailed", errorFields(error)));
        const cut = await drain(callerListener, lifetime, timer, stop);
        kill();
        log.info("stopped", { cut });
        return { cut };
    };
    let stopResult: Promise<StopResult> | undefined;
    return { isReady, stop: () => stopResult ??= stopOnce(), kill };
}

/** The parts that start after others that use them. */
type StartedComponents = { planning?: Planning; peers?: Peers };

/** Upstreams of a zone count as cold from the end of its evacuation, as their own records say so late. */
function connectColdGate(context: GatewayContext, clusterState: ClusterState, components: StartedComponents) {
    const coldGate = startColdGate(context, clusterState, {
        heldTerm: () => components.planning?.lease.heldTerm() ?? { isHeld: false, sinceMs: undefined },
        lastReadHolder: () => components.planning?.lease.lastReadHolder(),
        askInstance: async (...ask) => components.peers?.askInstance(...ask),
    });
    clusterState.evacuations.onChange(zones => {
        const ended = zones.filter(zone => !clusterState.isEvacuated(zone));
        ended.forEach(zone => coldGate.noteEvacuationEnded(zone, context.timer.nowMs()));
    });
    return coldGate;
}

function connectConfigurationCheck(
    { clusterState, configuration }: ClusterStateWatch,
    timer: Timer,
    components: StartedComponents,
): ConfigurationCheck {
    return makeConfigurationCheck(clusterState, timer, {
        readsStore: configuration.isActive,
        askStore: configuration.confirmAnyway,
        askRelays: async () => components.peers?.confirmConfiguration(),
    });
}

/** Placements are held back after a pause of the process only where zones may be evacuated. */
function startGuard(context: GatewayContext, confirm: () => Promise<boolean>): PlacementGuard {
    return context.settings.bounds.evacuateMs === undefined
        ? openPlacementGuard
        : makePlacementGuard(context, confirm);
}

/** Serves until the load balancer has noticed, then waits for running requests. Resolves to how many were cut off. */
async function drain(
    callerListener: CallerListener,
    lifetime: Lifetime,
    timer: Timer,
    { noticeEndsAtMs, endsAtMs }: Stop,
): Promise<number> {
    callerListener.startDraining();
    await sleep(timer, noticeEndsAtMs - timer.nowMs());
    callerListener.stopListening();
    await waitUntilClosed(callerListener, timer, endsAtMs);
    const cut = callerListener.inFlight();
    lifetime.giveUp();
    await waitUntilClosed(callerListener, timer, endsAtMs + abortNoticeMs);
    return cut;
}

async function waitUntilClosed({ openConnections }: CallerListener, timer: Timer, untilMs: number): Promise<void> {
    while (openConnections() > 0 && timer.nowMs() < untilMs) {
        await sleep(timer, stopCheckMs);
    }
}
