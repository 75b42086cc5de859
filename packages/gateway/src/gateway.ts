/** Wires the parts of a gateway process together, and ends them in order. */
import { makePredictionBiases, makeRepeatBudget } from "@rattanquay/core";
import { sleep, type Timer } from "@rattanquay/timer";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { startBeliefs } from "./beliefs";
import { type Planning, startPlanning } from "./control";
import { type CallerDoor, startCallerDoor, startMetricsDoor, startReadinessDoor } from "./door";
import { makeStallWatch, type Reach, serveRequest } from "./exchange";
import { type Peers, startPeers } from "./peers";
import { type Surroundings } from "./surroundings";
import { makeUpstreamBook } from "./upstreams";

export type Gateway = {
    readonly isReady: () => boolean;
    /** Leaves gracefully; resolves to the number of requests that were cut at the end of the grace. */
    readonly stop: () => Promise<{ readonly cut: number }>;
    /** Ends everything at once, as a crash would; for tests and broken invariants. */
    readonly kill: () => void;
};

/** The balancer asks once a second and takes a process out after two misses; connections on their way come after that. */
const noticeMs = 2_600;
/** Left between the last cut and the end of the grace, for a process that has little of its processor. */
const graceMarginMs = 700;
const stopCheckMs = 50;
/** The fewest entry instances that are assumed to share a budget. */
const assumedInstances = 8;

export async function startGateway(surroundings: Surroundings): Promise<Gateway> {
    const { settings, timer, log, metrics } = surroundings;
    const parts: { planning?: Planning; peers?: Peers } = {};
    let requests = 0;
    let leaving = false;
    const instances = (): number => Math.max(parts.peers?.instances() ?? 0, assumedInstances);
    const watched = startBeliefs(surroundings, () => parts.planning?.isPlanner() === true);
    const { beliefs } = watched;
    const book = makeUpstreamBook(beliefs);
    const stalls = makeStallWatch(timer);
    const budget = makeRepeatBudget(settings.bounds.repeats);
    const reach: Reach = { surroundings, beliefs, book, budget, instances, stalls, biases: makePredictionBiases() };
    const isReady = (): boolean => !leaving && beliefs.routes() !== undefined && beliefs.knowsUpstreams();

    const readiness = await startReadinessDoor(settings.listeners.readiness, isReady);
    const metricsDoor = await startMetricsDoor(settings.listeners.metrics, () => metrics.registry.metrics());
    const serve = (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        requests++;
        return serveRequest(request, response, reach);
    };
    const door = await startCallerDoor(serve, beliefs, surroundings);
    const peers = await startPeers(surroundings, watched, book);
    const planning = startPlanning({
        surroundings,
        beliefs,
        instances,
        ownTraffic: () => requests > 0,
        passOrder: peers.passOrder,
    });
    Object.assign(parts, { planning, peers });
    log.info("started", { instance: settings.instance, availabilityZone: settings.availabilityZone });

    const kill = (): void => {
        peers.close();
        planning.close();
        door.close();
        readiness.close();
        metricsDoor.close();
        watched.stop();
        stalls.stop();
        book.stop();
    };
    const stop = async (): Promise<{ readonly cut: number }> => {
        leaving = true;
        log.info("leaving", { inFlight: door.inFlight() });
        const deadlineMs = timer.nowMs() + settings.bounds.graceMs - graceMarginMs;
        // Neither is waited for: the store may not answer, and callers' answers go first.
        const told = Promise.all([planning.release(), peers.leave()]);
        told.catch(error => surroundings.onBroken("leaving", error));
        const cut = await leave(door, timer, deadlineMs);
        kill();
        log.info("stopped", { cut });
        return { cut };
    };
    return { isReady, stop, kill };
}

/** Serves on until the balancer has noticed, then lets what runs end; resolves to what was cut. */
async function leave(door: CallerDoor, timer: Timer, deadlineMs: number): Promise<number> {
    door.startLeaving();
    await sleep(timer, noticeMs);
    door.closeIdle();
    while (door.inFlight() + door.openConnections() > 0 && timer.nowMs() < deadlineMs) {
        await sleep(timer, stopCheckMs);
        door.closeIdle();
    }
    return door.inFlight();
}
