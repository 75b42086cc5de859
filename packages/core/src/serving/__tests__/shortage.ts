/** Plays two kinds of requests of different urgency that compete for too few engines. */
import {
    decideAdmission,
    isExpectedOnTime,
    isNeglectedKind,
    leadOverMoreUrgent,
    makeAdmissionHistory,
    makeWorkspaceShares,
    type RefusalRuleName,
    utilityOf,
    type WorkspaceCounts,
    type WorkspaceShares,
} from "../index";
import { type Decider, type FleetRequest, makeRandom, playFleet } from "./fakeFleet";
import { capacityOf, type Mix } from "./fleetMixes";

export type ShortageKind = {
    readonly kind: string;
    readonly urgency: number;
    readonly objectiveMs: number;
    /** Share of the requests, and prompt and answer as multiples of the usual ones. */
    readonly share: number;
    readonly prompt: number;
    readonly answer: number;
};

export type ShortageOptions = {
    readonly mix: Mix;
    readonly kinds: readonly ShortageKind[];
    /** Demand as a multiple of the capacity, by time. */
    readonly use: (atMs: number) => number;
    readonly durationMs: number;
    readonly seed: number;
    readonly rule: RefusalRuleName;
    readonly instances?: number;
};

/** What became of the requests of one kind, each with its retry. */
export type KindOutcome = {
    readonly sent: number;
    readonly onTime: number;
    readonly late: number;
    readonly left: number;
    readonly refusedOnce: number;
    readonly refusedTwice: number;
};

const deadlineMs = 10_000;
const patienceOf = (objectiveMs: number): number => Math.max(2_000, 4 * objectiveMs);

export function playShortage(
    { mix, kinds, use, durationMs, seed, rule, instances = 24 }: ShortageOptions,
): ReadonlyMap<string, KindOutcome> {
    const random = makeRandom(seed + 500);
    const urgencies = [...new Set(kinds.map(({ urgency }) => urgency))].sort((a, b) => a - b);
    const exchange = makeExchange();
    const makeDecider = (): Decider => {
        const counts = makeWorkspaceShares();
        exchange.add(counts);
        const { predictions, utility } = makeAdmissionHistory(counts);
        const [onTime, served] = [predictions("s", "m"), utility("s")];
        return {
            decide: ({ request, predictedMs, meanPredictedMs, leastMs, hasRoom }) => {
                const { atMs, objectiveMs, urgency = 0 } = request;
                exchange.advance(atMs);
                const decision = decideAdmission({
                    predictedMs,
                    meanPredictedMs,
                    leastMs,
                    objectiveMs,
                    longestPauseMs: 0,
                    waitedMs: 0,
                    leftMs: deadlineMs,
                    // As before, where requests had no urgency.
                    urgencies: rule === "multipleOfObjective" ? [urgency] : urgencies,
                    urgency,
                    hasRoom,
                    pressure: 1 - onTime.all(atMs),
                    isNeglected: isNeglectedKind(served, urgency, atMs),
                    random: random(),
                    chance: random(),
                    workspaceExcess: 0,
                    lead: leadOverMoreUrgent(served, urgencies, urgency, atMs),
                }, rule);
                onTime.note(
                    urgency,
                    isExpectedOnTime({ predictedMs, meanPredictedMs, objectiveMs, urgencies }) ? 1 : 0,
                    atMs,
                );
                return decision;
            },
            noteEnd: ({ urgency = 0, objectiveMs }, firstEventMs, nowMs) =>
                served.note(urgency, utilityOf(firstEventMs, objectiveMs), nowMs),
        };
    };
    const fleet = {
        engine: mix.engine,
        heads: mix.heads,
        zones: 3,
        instances,
        reportEveryMs: 300,
        reportDelayMs: 300,
        tellsAtOnce: true,
        isTimeBased: true,
        stepsPerChunk: 1,
    };
    const results = playFleet(fleet, makeRequests({ mix, kinds, use, durationMs, seed }), makeDecider, random);
    return new Map(kinds.map(({ kind, objectiveMs }) => {
        const own = results.filter(({ request }) => request.kind === kind);
        const answered = own.filter(({ outcome }) => outcome === "answered");
        const refused = own.filter(({ outcome }) => outcome === "refused");
        const onTime = answered.filter(({ firstEventMs }) => firstEventMs! <= objectiveMs).length;
        return [kind, {
            sent: own.filter(({ request }) => request.isRetry !== true).length,
            onTime,
            late: answered.length - onTime,
            left: own.filter(({ outcome }) => outcome === "left").length,
            refusedOnce: refused.filter(({ request }) => request.isRetry !== true).length,
            refusedTwice: refused.filter(({ request }) => request.isRetry === true).length,
        }];
    }));
}

const exchangeEveryMs = 300;

/** Tells each instance the counts of the others, as they were one interval before. */
function makeExchange() {
    const instances: WorkspaceShares[] = [];
    let reports: readonly (readonly WorkspaceCounts[])[] = [];
    let nextAtMs = 0;
    return {
        add: (counts: WorkspaceShares) => void instances.push(counts),
        advance: (nowMs: number): void => {
            if (nowMs < nextAtMs) {
                return;
            }
            nextAtMs = nowMs + exchangeEveryMs;
            instances.forEach((counts, index) =>
                counts.notePeers(reports.filter((unused, other) => other !== index).flat(), nowMs)
            );
            reports = instances.map(counts => counts.own(nowMs));
        },
    };
}

function makeRequests(
    { mix, kinds, use, durationMs, seed }: Omit<ShortageOptions, "rule">,
): readonly FleetRequest[] {
    const { usualPromptTokens, usualAnswerTokens } = mix.engine;
    const random = makeRandom(seed);
    const requests: FleetRequest[] = [];
    for (let atMs = 0; atMs < durationMs;) {
        atMs -= Math.log(1 - random()) / (use(atMs) * capacityOf(mix, 0));
        let left = random();
        const { kind, urgency, objectiveMs, prompt, answer } = kinds.find(({ share }) => (left -= share) < 0)
            ?? kinds.at(-1)!;
        requests.push({
            atMs,
            kind,
            urgency,
            objectiveMs,
            patienceMs: patienceOf(objectiveMs),
            promptTokens: Math.round(prompt * usualPromptTokens * (0.5 + random())),
            answerTokens: Math.max(1, Math.round(answer * usualAnswerTokens * (0.5 + random()))),
            instance: random(),
        });
    }
    return requests;
}
