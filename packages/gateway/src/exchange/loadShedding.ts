/**
 * Load shedding: the priority of requests, which of them are refused at once, and when their callers should retry.
 *
 * While a model's groups are overloaded for seconds, accepting every request would make all of them late. The decisions
 * are those of the admission policy in `packages/core`; this module collects their inputs.
 */
import {
    type AdmissionInput,
    decideAdmission,
    isExpectedOnTime,
    isNeglectedKind,
    leadOverMoreUrgent,
    longestRetryAfterMs,
    type PriorityFacts,
    priorityOf as priorityOfFacts,
    utilityOf,
} from "@rattanquay/core";
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type Placement } from "./placement";

/** Retry delays are increased by up to this share at random, so that callers do not retry all at once. */
const retryJitter = 0.4;

/** The retry delay of a request that is refused because it would be late and delay others; undefined if it may start. */
export function refusalDelayMs(
    admitted: AdmittedRequest,
    placement: Placement,
    dependencies: ExchangeDependencies,
): number | undefined {
    if (admitted.service.engine === undefined) {
        return undefined;
    }
    const decision = decideAdmission(admissionInput(admitted, placement, dependencies));
    noteWorkspace(admitted, decision.kind === "start", dependencies);
    return decision.kind === "refuse" ? decision.retryAfterMs : undefined;
}

/** The priority for the upstream; undefined for services without an engine. */
export function priorityOf(
    admitted: AdmittedRequest,
    placement: Placement,
    dependencies: ExchangeDependencies,
): number | undefined {
    return admitted.service.engine === undefined
        ? undefined
        : priorityOfFacts(priorityFacts(admitted, placement, dependencies));
}

/** Records how a request ended, for later decisions; `firstByteMs` is undefined if it was not answered. */
export function noteServed(
    { service, urgency, urgencies, route }: AdmittedRequest,
    firstByteMs: number | undefined,
    { admissions, context: { timer } }: ExchangeDependencies,
): void {
    if (service.engine !== undefined && urgencies.length > 1) {
        admissions.utility(service.service).note(urgency, utilityOf(firstByteMs, route.objectiveMs), timer.nowMs());
    }
}

/** The retry delay: as long as callers follow it, because forming a group takes seconds. */
export function retryAfterMs(
    { endByMs }: AdmittedRequest,
    { context: { timer, random } }: ExchangeDependencies,
): number {
    return longestRetryAfterMs({ leftMs: endByMs - timer.nowMs(), random: random() });
}

/** Adds jitter to a Retry-After of `delayMs`, so that callers do not return at the same moment. */
export function spreadRetryMs(delayMs: number, { context: { random } }: ExchangeDependencies): number {
    return delayMs * (1 + retryJitter * random());
}

function priorityFacts(
    { service, route: { objectiveMs }, urgency, urgencies }: AdmittedRequest,
    { predictedMs, leastMs, outlook }: Placement,
    { admissions, context: { timer } }: ExchangeDependencies,
): PriorityFacts {
    const isNeglected = urgencies.length > 1
        && isNeglectedKind(admissions.utility(service.service), urgency, timer.nowMs());
    const meanPredictedMs = outlook?.meanPredictedMs ?? predictedMs;
    return { predictedMs, meanPredictedMs, leastMs, objectiveMs, urgencies, urgency, isNeglected };
}

/** Written out field by field: this runs for each request, and spreading objects of this size takes some 15 µs. */
function admissionInput(
    admitted: AdmittedRequest,
    placement: Placement,
    dependencies: ExchangeDependencies,
): AdmissionInput {
    const { arrivedAtMs, endByMs, route, urgencies, urgency } = admitted;
    const { context: { timer, random }, workspaceShares } = dependencies;
    const nowMs = timer.nowMs();
    const { scope, workspace } = usageOf(admitted);
    const facts = priorityFacts(admitted, placement, dependencies);
    const standing = fairnessInputsOf(admitted, placement, facts, dependencies);
    return {
        predictedMs: facts.predictedMs,
        meanPredictedMs: facts.meanPredictedMs,
        leastMs: facts.leastMs,
        objectiveMs: facts.objectiveMs,
        longestPauseMs: route.longestPauseMs ?? 0,
        waitedMs: nowMs - arrivedAtMs,
        leftMs: endByMs - nowMs,
        urgencies,
        urgency,
        hasRoom: placement.outlook?.hasRoom ?? true,
        pressure: standing.pressure,
        isNeglected: facts.isNeglected,
        lead: standing.lead,
        workspaceExcess: workspaceShares.excess(scope, workspace, nowMs),
        random: random(),
        chance: random(),
    };
}

type FairnessInputs = Pick<AdmissionInput, "pressure" | "lead">;

const equalFairnessInputs: FairnessInputs = { pressure: 0, lead: 0 };

/** How the request's kind stands among others; the same for all where all requests are equally urgent. */
function fairnessInputsOf(
    { service, caller, urgencies, urgency }: AdmittedRequest,
    { outlook }: Placement,
    facts: PriorityFacts,
    { admissions, context: { timer } }: ExchangeDependencies,
): FairnessInputs {
    if (outlook === undefined || urgencies.length <= 1) {
        return equalFairnessInputs;
    }
    const nowMs = timer.nowMs();
    const predictions = admissions.predictions(service.service, caller.model ?? "");
    predictions.note(urgency, isExpectedOnTime(facts) ? 1 : 0, nowMs);
    return {
        pressure: 1 - predictions.all(nowMs),
        lead: leadOverMoreUrgent(admissions.utility(service.service), urgencies, urgency, nowMs),
    };
}

function usageOf({ service, caller, workspace = "" }: AdmittedRequest): { scope: string; workspace: string } {
    return { scope: `workspaces/${service.service}/${caller.model ?? ""}`, workspace };
}

function noteWorkspace(
    admitted: AdmittedRequest,
    hasStarted: boolean,
    { workspaceShares, context: { timer } }: ExchangeDependencies,
): void {
    const { scope, workspace } = usageOf(admitted);
    workspaceShares.note(scope, workspace, hasStarted ? 1 : 0, timer.nowMs());
}
