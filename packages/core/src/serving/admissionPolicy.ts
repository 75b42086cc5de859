/**
 * Decides whether a request starts, with which priority, or is refused, with which Retry-After.
 *
 * A request is sent at once or refused at once; it waits only in the queue of its upstream, which admits by priority.
 * Where all requests of a service are equally urgent, a request is refused if its prediction exceeds a multiple of its
 * objective. Where urgencies differ, it starts while its model has room. Otherwise it is refused if it cannot be
 * answered before its caller leaves or exceeds the lateness allowed to its urgency. That lateness shrinks for the less
 * urgent as more requests are late, and those that fare better than more urgent ones are refused in part, but not a
 * kind of request that gets much less than all do.
 *
 * While a model cannot serve all requests, those of a workspace beyond its share are refused as soon as they are late.
 */
import { type RecentShares } from "./recentShares";
import { requestPriority, urgencyRank } from "./urgency";

/** All times in milliseconds. */
export type AdmissionInput = {
    /** Predicted time to the first event at the chosen upstream. */
    readonly predictedMs: number;
    /**
     * The same for an upstream with the mean load of all candidates. Load figures are late, and that of the chosen
     * upstream is the least of several: the mean tells better what requests of this model can expect.
     */
    readonly meanPredictedMs: number;
    /** Predicted time to the first event on an upstream without other requests; 0 if its prompt is not long. */
    readonly leastMs: number;
    readonly objectiveMs: number;
    readonly longestPauseMs: number;
    /** Time since the request arrived, and until its deadline. */
    readonly waitedMs: number;
    readonly leftMs: number;
    /** The distinct urgencies of the service, the most urgent first, and that of the request. */
    readonly urgencies: readonly number[];
    readonly urgency: number;
    /** Whether the candidates together have a free place. */
    readonly hasRoom: boolean;
    /** Share of the recent requests for the same model that were predicted late, 0 to 1. */
    readonly pressure: number;
    /** Whether its kind of request gets much less than all do. */
    readonly isNeglected: boolean;
    /** By how much its kind of request fares better than a more urgent kind, 0 to 1. */
    readonly lead: number;
    /** The part of the workspace's requests that exceeds its share of what can be served, 0 to 1. */
    readonly workspaceExcess: number;
    /** Two random numbers in [0, 1): for the jitter of Retry-After, and for refusing a part of a kind of request. */
    readonly random: number;
    readonly chance: number;
};

export type AdmissionDecision =
    | { readonly kind: "start"; readonly priority: number }
    | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** A request is refused only if its prediction exceeds the objective by this factor, because predictions are rough. */
const maxLatenessFactor = 2;
/** How much of it the least urgent requests lose when all requests are late. */
const lostLatenessFactor = 1.5;
/** Longest retry delay that callers follow, as a share of the time left to them. */
const retryDelayShare = 0.32;
/** Retry delays differ by up to this share at random, so that callers do not retry all at once. */
const retryJitter = 0.4;
/** A request that needs this share of its objective on an idle upstream is short of slack. */
const maxOwnShare = 0.5;
/** The caller of a stream leaves without a first event after the longest of these. */
const minPatienceMs = 2_000;
const patienceObjectives = 4;
const patiencePauses = 8;
/** A kind of request is neglected below this share of what all get: more than the guaranteed quarter, as shares lag. */
const neglectedShare = 0.4;
/** A lead up to this is not corrected; beyond it, the part that is refused grows by this factor. */
const toleratedLead = 0.05;
const leadGain = 4;
const lateUtility = 0.2;

type RefusalRule = {
    readonly isRefused: (input: AdmissionInput) => boolean;
    readonly retryAfterMs: (input: AdmissionInput) => number;
};

/** Rules of refusal by name; the first is in force where all requests of a service are equally urgent. */
export const refusalRules = {
    multipleOfObjective: {
        isRefused: ({ predictedMs, objectiveMs }) => predictedMs > objectiveMs * maxLatenessFactor,
        retryAfterMs: longestRetryAfterMs,
    },
    callersInterest: {
        isRefused: input =>
            !input.hasRoom && (comesAfterCallerLeft(input) || isTooLate(input) || isRefusedForFairness(input)),
        retryAfterMs: drainedAfterMs,
    },
} as const satisfies Record<string, RefusalRule>;
export type RefusalRuleName = keyof typeof refusalRules;

export function decideAdmission(
    input: AdmissionInput,
    rule: RefusalRuleName = input.urgencies.length <= 1 ? "multipleOfObjective" : "callersInterest",
): AdmissionDecision {
    const { isRefused, retryAfterMs } = refusalRules[rule];
    return isRefused(input) || exceedsShare(input)
        ? { kind: "refuse", retryAfterMs: retryAfterMs(input) }
        : { kind: "start", priority: priorityOf(input) };
}

export type PriorityFacts = Pick<
    AdmissionInput,
    "predictedMs" | "meanPredictedMs" | "leastMs" | "objectiveMs" | "urgencies" | "urgency" | "isNeglected"
>;

/** The priority of a request that starts. A neglected kind goes with the most urgent. */
export function priorityOf(facts: PriorityFacts): number {
    const { leastMs, objectiveMs, urgencies, urgency, isNeglected } = facts;
    return requestPriority({
        urgencies,
        urgency: isNeglected ? urgencies[0] ?? urgency : urgency,
        isOnTime: isExpectedOnTime(facts),
        isShortOfSlack: leastMs > objectiveMs * maxOwnShare,
    });
}

/** Whether a kind of request is served so much less often than all that it must not yield any further. */
export function isNeglectedKind(served: RecentShares, urgency: number, nowMs: number): boolean {
    const own = served.ofKind(urgency, nowMs);
    return own !== undefined && own < neglectedShare * served.all(nowMs);
}

/** The utility of an answer to its caller: a late one has a tenth to a third of that of one on time. */
export function utilityOf(firstEventMs: number | undefined, objectiveMs: number): number {
    if (firstEventMs === undefined) {
        return 0;
    }
    return firstEventMs <= objectiveMs ? 1 : lateUtility;
}

/** By how much a kind of request was lately served more often than the least served of the more urgent kinds. */
export function leadOverMoreUrgent(
    served: RecentShares,
    urgencies: readonly number[],
    urgency: number,
    nowMs: number,
): number {
    const own = served.ofKind(urgency, nowMs) ?? 0;
    const moreUrgent = urgencies.filter(other => other < urgency).map(other => served.ofKind(other, nowMs) ?? 1);
    return Math.max(0, own - Math.min(1, ...moreUrgent));
}

/** How long the caller of a stream waits for the first event, from the arrival of the request. */
export function patienceMs({ objectiveMs, longestPauseMs }: Pick<AdmissionInput, "objectiveMs" | "longestPauseMs">) {
    return Math.max(minPatienceMs, patienceObjectives * objectiveMs, patiencePauses * longestPauseMs);
}

/** Whether a request is expected to meet its objective. */
export function isExpectedOnTime(facts: ExpectationFacts & Pick<AdmissionInput, "objectiveMs">): boolean {
    return expectedMs(facts) <= facts.objectiveMs;
}

type ExpectationFacts = Pick<AdmissionInput, "predictedMs" | "meanPredictedMs" | "urgencies">;

function expectedMs({ predictedMs, meanPredictedMs, urgencies }: ExpectationFacts): number {
    return urgencies.length <= 1 ? predictedMs : Math.max(predictedMs, meanPredictedMs);
}

function comesAfterCallerLeft(input: AdmissionInput): boolean {
    return expectedMs(input) > Math.min(input.leftMs, patienceMs(input) - input.waitedMs);
}

function isTooLate(input: AdmissionInput): boolean {
    const { objectiveMs, urgencies, urgency, pressure, isNeglected } = input;
    const lost = isNeglected ? 0 : lostLatenessFactor * pressure * urgencyRank(urgencies, urgency);
    return expectedMs(input) > objectiveMs * (maxLatenessFactor - lost);
}

/** While a model is short, the requests beyond a workspace's share are refused before those of others. */
function exceedsShare(input: AdmissionInput): boolean {
    return !input.hasRoom && input.chance < input.workspaceExcess && !isExpectedOnTime(input);
}

function isRefusedForFairness({ isNeglected, lead, chance }: AdmissionInput): boolean {
    return !isNeglected && chance < leadGain * (lead - toleratedLead);
}

/** As long as callers follow it, because forming a group takes seconds. */
export function longestRetryAfterMs({ leftMs, random }: Pick<AdmissionInput, "leftMs" | "random">): number {
    return Math.max(0, leftMs) * retryDelayShare * (1 - retryJitter * random);
}

/**
 * When a new request would be on time: the backlog drains in the time that requests on time leave free. Without any of
 * these, or for a request that yields to others, no such time can be given.
 */
function drainedAfterMs(input: AdmissionInput): number {
    const { objectiveMs, leftMs, pressure, random } = input;
    const backlogMs = expectedMs(input) - objectiveMs;
    const longestMs = longestRetryAfterMs({ leftMs, random });
    return backlogMs <= 0 || pressure >= 1
        ? longestMs
        : Math.min(backlogMs * (1 + retryJitter * random) / (1 - pressure), longestMs);
}
