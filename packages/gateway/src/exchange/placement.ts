/** Chooses the upstream for one attempt from the known state of all candidates. */
import {
    chooseUpstream,
    type EnginePlacement,
    forwardPassMs,
    makeEnginePlacement,
    mayReachZone,
    meanCandidate,
    type PlacementCandidate,
} from "@rattanquay/core";
import { type EngineModel } from "@rattanquay/schema";
import { type KnownUpstream } from "../upstreams";
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";

export type Placement = {
    readonly upstream: KnownUpstream;
    /**
     * Predicted time to the first event: from the engine's published profile, corrected by recent prediction errors.
     */
    readonly predictedMs: number;
    /** Predicted time to the end of the answer, at the engine's slowest pace. Undefined without a profile. */
    readonly predictedEndMs: number | undefined;
    /** Time for which its long prompt holds up other requests at the upstream; 0 for other prompts. */
    readonly extraPrefillMs: number;
    /** Predicted time to the first event without other requests, if its prompt is long; else 0. */
    readonly leastMs: number;
    /** What all candidates together offer; undefined if all requests of the service are equally urgent. */
    readonly outlook: PlacementOutlook | undefined;
    /** Records the time to the first event, or a lower bound of it, to correct later predictions. */
    readonly noteFirstEvent: (afterMs: number) => void;
    readonly candidates: number;
    /** Whether the request may be sent only with a grant, because the upstream is cold. */
    readonly needsGrant: boolean;
};

export type PlacementOutlook = {
    /** Predicted time to the first event at an upstream with the mean load of all candidates. */
    readonly meanPredictedMs: number;
    /** Whether the candidates together have a free place. */
    readonly hasRoom: boolean;
};

/** Assumed time per request at an upstream of a service without an engine, which publishes no profile. */
const defaultWorkMs = 50;

/** `usesCold` states whether upstreams that need a grant may be chosen. */
export function choosePlacement(
    admitted: AdmittedRequest,
    excludedUpstreams: ReadonlySet<string>,
    dependencies: ExchangeDependencies,
    usesCold: boolean,
): Placement | undefined {
    const { registry, coldGate, context: { timer, settings, random } } = dependencies;
    const nowMs = timer.nowMs();
    const isCold = coldGate.coldTestOf(admitted.service);
    const leavesOutCold = isCold !== undefined && !(usesCold && coldGate.mayAsk());
    const known = candidatesOf(admitted, dependencies).filter(({ record, announced }) =>
        !excludedUpstreams.has(record.id) && announced.pausedUntilMs() <= nowMs && !(leavesOutCold && isCold(record))
        && dependencies.upstreamBytes.hasRoom(record.id, admitted.body.length)
    );
    const candidates = known.map(({ record, load, pool }): PlacementCandidate => ({
        id: record.id,
        slots: admitted.service.engine?.slots ?? record.slots,
        load: load.estimate(nowMs),
        backlogMs: load.prefill.totalMs(nowMs),
        isLocal: record.availabilityZone === settings.availabilityZone,
        isConnected: pool.hasIdle(),
        isStalled: load.isStalled(nowMs),
        questionMs: isCold?.(record) ? coldGate.questionMs() : 0,
    }));
    const { firstEventMs, delayCostMs, extraPrefillMs, leastMs } = placementOf(admitted);
    const chosen = chooseUpstream({ candidates, predict: firstEventMs, delayCostMs, random });
    const upstream = chosen === undefined ? undefined : registry.get(chosen.id);
    if (chosen === undefined || upstream === undefined) {
        return undefined;
    }
    const bias = dependencies.biases.of(`${admitted.service.service}/${admitted.caller.model ?? ""}`);
    const predictedMs = bias.correct(chosen.predictedMs);
    const answerMs = predictAnswerMs(admitted);
    return {
        upstream,
        predictedMs,
        predictedEndMs: answerMs === undefined ? undefined : predictedMs + answerMs,
        extraPrefillMs: extraPrefillMs(upstream.load.estimate(nowMs)),
        leastMs,
        outlook: outlookOf(candidates.filter(({ isStalled }) => !isStalled), firstEventMs),
        noteFirstEvent: afterMs => bias.observe(chosen.predictedMs, afterMs),
        candidates: candidates.length,
        needsGrant: isCold?.(upstream.record) === true,
    };
}

function outlookOf(
    candidates: readonly PlacementCandidate[],
    predict: EnginePlacement["firstEventMs"],
): PlacementOutlook | undefined {
    const mean = meanCandidate(candidates);
    return mean === undefined ? undefined : { meanPredictedMs: predict(mean), hasRoom: mean.load < mean.slots };
}

/** Upstreams that currently accept this request and may get it. An engine group lies in the zone of its head. */
export function candidatesOf(
    admitted: AdmittedRequest,
    dependencies: ExchangeDependencies,
): readonly KnownUpstream[] {
    const { service, caller } = admitted;
    const { registry } = dependencies;
    const accepting = service.engine === undefined
        ? registry.plain(service.service)
        : registry.groupHeads(service.service, caller.model ?? "");
    return withinAllowedRegions(accepting, admitted, dependencies);
}

/** The upstreams whose zones lie in regions that the request may reach. */
export function withinAllowedRegions(
    upstreams: readonly KnownUpstream[],
    { allowedRegions }: AdmittedRequest,
    { context: { settings: { regions } } }: ExchangeDependencies,
): readonly KnownUpstream[] {
    return allowedRegions === undefined
        ? upstreams
        : upstreams.filter(({ record }) => mayReachZone(record.availabilityZone, allowedRegions, regions));
}

/** Upstreams that would accept this request if no zone were evacuated, also in regions that it may not reach. */
export function upstreamsInAnyZone(
    { service, caller }: AdmittedRequest,
    { registry }: ExchangeDependencies,
): readonly KnownUpstream[] {
    return registry.inAnyZone(service.service, service.engine === undefined ? undefined : caller.model ?? "");
}

/** Whether any upstream that accepts this request needs grants now. */
export function hasColdCandidate(admitted: AdmittedRequest, dependencies: ExchangeDependencies): boolean {
    const isCold = dependencies.coldGate.coldTestOf(admitted.service);
    return isCold !== undefined && candidatesOf(admitted, dependencies).some(({ record }) => isCold(record));
}

/** Time until the first pause that an upstream has asked for ends; undefined if no upstream pauses. */
export function pauseLeftMs(admitted: AdmittedRequest, dependencies: ExchangeDependencies): number | undefined {
    const nowMs = dependencies.context.timer.nowMs();
    const ends = candidatesOf(admitted, dependencies).map(({ announced }) => announced.pausedUntilMs() - nowMs);
    const pausing = ends.filter(leftMs => leftMs > 0);
    return pausing.length === 0 ? undefined : Math.min(...pausing);
}

function modelOf({ service: { engine }, caller }: AdmittedRequest): EngineModel | undefined {
    return engine?.models.find(offered => offered.model === caller.model);
}

/** From the first event to the last one, if the answer is as long as the caller allows and all places are taken. */
function predictAnswerMs(admitted: AdmittedRequest): number | undefined {
    const { service: { engine }, caller: { maxAnswerTokens, expectedAnswerTokens } } = admitted;
    const model = modelOf(admitted);
    if (engine === undefined || model === undefined) {
        return undefined;
    }
    const answerTokens = maxAnswerTokens ?? expectedAnswerTokens ?? engine.usualAnswerTokens;
    return answerTokens / engine.stepsPerPass * forwardPassMs(engine, model, engine.slots);
}

function placementOf(admitted: AdmittedRequest): EnginePlacement {
    const { service: { engine }, caller, route: { objectiveMs } } = admitted;
    const model = modelOf(admitted);
    if (engine === undefined || model === undefined) {
        return plainPlacement;
    }
    const size = {
        promptTokens: caller.promptTokens ?? engine.usualPromptTokens,
        answerTokens: caller.expectedAnswerTokens ?? engine.usualAnswerTokens,
    };
    return makeEnginePlacement(engine, model, size, objectiveMs);
}

const plainPlacement: EnginePlacement = {
    leastMs: 0,
    firstEventMs: ({ load, slots }) => defaultWorkMs * (1 + load / Math.max(1, slots)),
    delayCostMs: undefined,
    extraPrefillMs: () => 0,
};
