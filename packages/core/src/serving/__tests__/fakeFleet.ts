/**
 * Plays requests of many instances to a fleet of engines in virtual time, without a network.
 *
 * The engines prefill and decode by their published costs: a step produces a token of each running request, and up to
 * `chunkTokens` of the admitted prompts are prefilled between two steps, in the order of admission. Waiting requests
 * are admitted by priority. Each instance knows its own requests at once, those of the other instances by messages of
 * a fixed period and delay, and the load of an engine from the head of each answer.
 */
import { type EngineProfile } from "@rattanquay/schema";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import {
    chooseUpstream,
    makeEnginePlacement,
    makePredictionBias,
    makeUpstreamLoad,
    meanCandidate,
    type PlacementCandidate,
    type PredictionBias,
    type UpstreamLoad,
} from "../index";

export type FleetOptions = {
    readonly engine: EngineProfile;
    readonly heads: number;
    readonly zones: number;
    readonly instances: number;
    /** Interval between the messages of instances, and their age when they are used. */
    readonly reportEveryMs: number;
    readonly reportDelayMs: number;
    /** Whether an instance tells those of its zone at once of a long prompt that it sends. */
    readonly tellsAtOnce: boolean;
    /** Whether long prompts count as time (as the product does) or as one request like any other. */
    readonly isTimeBased: boolean;
    /** Steps between two chunks of prefill. */
    readonly stepsPerChunk: number;
};

export type FleetRequest = {
    readonly atMs: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly objectiveMs: number;
    readonly kind: string;
    /** A number in [0, 1) that names the instance which receives it. */
    readonly instance: number;
    /** How long its caller waits for the first event; absent if it never leaves. */
    readonly patienceMs?: number;
    /** The urgency of its route. */
    readonly urgency?: number;
    /** Whether its caller sends it for the second time, after a refusal. */
    readonly isRetry?: boolean;
};

/** What an instance knows when it decides. */
export type SendQuestion = {
    readonly request: FleetRequest;
    readonly predictedMs: number;
    readonly meanPredictedMs: number;
    readonly leastMs: number;
    /** Whether the engines together are believed to have a free place. */
    readonly hasRoom: boolean;
};

/** What an instance decides for a request that it would send to an upstream. */
export type SendDecision =
    | { readonly kind: "start"; readonly priority: number }
    | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** Decides for one instance. */
export type Decider = {
    readonly decide: (question: SendQuestion) => SendDecision;
    /** Called once for each request with its time to the first event, if it had one. */
    readonly noteEnd?: (request: FleetRequest, firstEventMs: number | undefined, nowMs: number) => void;
};

export type FleetResult = {
    readonly request: FleetRequest;
    readonly outcome: "answered" | "refused" | "left";
    /** Undefined if it was not answered. */
    readonly firstEventMs: number | undefined;
    readonly predictedMs: number;
};

export function makeRandom(seed: number): () => number {
    const resolution = 1_000_000;
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}

type Sequence = {
    readonly request: FleetRequest;
    readonly priority: number;
    readonly onFirstEvent: (nowMs: number) => void;
    readonly onEnd: (nowMs: number) => void;
    readonly onLeave: (nowMs: number) => void;
    readonly leavesAtMs: number;
    promptLeft: number;
    produced: number;
};

class FakeEngine {
    waiting: Sequence[] = [];
    running: Sequence[] = [];
    nextAtMs = Infinity;
    private prefilled: Sequence[] = [];

    constructor(private readonly options: FleetOptions) {}

    add(sequence: Sequence, nowMs: number): void {
        const index = this.waiting.findIndex(({ priority }) => priority > sequence.priority);
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, sequence);
        if (this.nextAtMs === Infinity) {
            this.begin(nowMs);
        }
    }

    /** Ends the current steps and begins the next. */
    advance(): void {
        const nowMs = this.nextAtMs;
        const { engine, stepsPerChunk } = this.options;
        for (const sequence of this.running) {
            if (sequence.promptLeft > 0 || this.prefilled.includes(sequence)) {
                continue;
            }
            const before = sequence.produced;
            sequence.produced += stepsPerChunk;
            const first = Math.min(engine.stepsPerPass, sequence.request.answerTokens);
            if (before < first && sequence.produced >= first) {
                sequence.onFirstEvent(nowMs);
            }
            if (sequence.produced >= sequence.request.answerTokens) {
                sequence.onEnd(nowMs);
            }
        }
        this.running = this.running.filter(({ produced, request }) => produced < request.answerTokens);
        this.begin(nowMs);
    }

    /** Removes requests whose callers have left without a first event. */
    private dropLeft(sequences: readonly Sequence[], nowMs: number): Sequence[] {
        const first = this.options.engine.stepsPerPass;
        const hasLeft = ({ leavesAtMs, produced, request }: Sequence): boolean =>
            nowMs >= leavesAtMs && produced < Math.min(first, request.answerTokens);
        sequences.filter(hasLeft).forEach(({ onLeave }) => onLeave(nowMs));
        return sequences.filter(sequence => !hasLeft(sequence));
    }

    private begin(nowMs: number): void {
        const { engine, stepsPerChunk } = this.options;
        this.running = this.dropLeft(this.running, nowMs);
        this.waiting = this.dropLeft(this.waiting, nowMs);
        const model = engine.models[0]!;
        while (this.running.length < engine.slots && this.waiting.length > 0) {
            this.running.push(this.waiting.shift()!);
        }
        const decoding = this.running.filter(({ promptLeft }) => promptLeft === 0);
        const contextOf = ({ request, produced }: Sequence): number => (request.promptTokens + produced) / 1_000;
        const stepMs = engine.stepMs + decoding.length * engine.perRequestMs
            + decoding.reduce((sum, sequence) => sum + contextOf(sequence), 0) * engine.perThousandContextMs;
        const durationMs = model.pace * ((decoding.length > 0 ? stepsPerChunk * stepMs : 0) + this.prefillMs());
        this.nextAtMs = this.running.length === 0 ? Infinity : nowMs + durationMs;
    }

    private prefillMs(): number {
        const { engine } = this.options;
        let budget = engine.chunkTokens ?? Infinity;
        let durationMs = 0;
        this.prefilled = [];
        for (const sequence of this.running) {
            if (sequence.promptLeft > 0 && budget > 0) {
                const tokens = Math.min(budget, sequence.promptLeft);
                const done = sequence.request.promptTokens - sequence.promptLeft;
                const pairs = tokens * (done + tokens / 2) / 1_000_000;
                durationMs += tokens / engine.promptTokensPerMs + pairs * engine.perMillionPairsMs;
                sequence.promptLeft -= tokens;
                budget -= tokens;
                this.prefilled.push(sequence);
            }
        }
        return durationMs;
    }
}

/** One instance's knowledge of the engines. */
type Instance = {
    readonly loads: readonly UpstreamLoad[];
    readonly bias: PredictionBias;
    readonly decider: Decider;
};

type Report = { readonly counts: readonly number[]; readonly prefills: readonly number[] };

/** A placement whose decisions treat a long prompt as one request like any other. */
const countBased = { delayCostMs: undefined, extraPrefillMs: () => 0 };

export function playFleet(
    options: FleetOptions,
    requests: readonly FleetRequest[],
    makeDecider: () => Decider,
    random: () => number,
): readonly FleetResult[] {
    const { engine, heads, zones, instances, reportEveryMs, reportDelayMs, isTimeBased, tellsAtOnce } = options;
    const engines = Array.from({ length: heads }, () => new FakeEngine(options));
    const fleet = Array.from({ length: instances }, (): Instance => ({
        loads: engines.map(() => makeUpstreamLoad()),
        bias: makePredictionBias(),
        decider: makeDecider(),
    }));
    const retries: FleetRequest[] = [];
    const results: FleetResult[] = [];
    const reports: { readonly usableAtMs: number; readonly from: readonly Report[] }[] = [];
    let nextReportMs = reportEveryMs;

    const exchangeReports = (nowMs: number): void => {
        reports.push({
            usableAtMs: nowMs + reportDelayMs,
            from: fleet.map(({ loads }) => ({
                counts: loads.map(load => load.own()),
                prefills: loads.map(load => load.prefill.ownMs(nowMs)),
            })),
        });
        const usable = reports.findLast(({ usableAtMs }) => usableAtMs <= nowMs);
        if (usable === undefined) {
            return;
        }
        const ageMs = nowMs - usable.usableAtMs + reportDelayMs;
        reports.splice(0, reports.indexOf(usable));
        const sums = engines.map((unused, head) => ({
            count: usable.from.reduce((sum, { counts }) => sum + counts[head]!, 0),
            prefillMs: usable.from.reduce((sum, { prefills }) => sum + Math.max(0, prefills[head]! - ageMs), 0),
        }));
        fleet.forEach(({ loads }, index) =>
            loads.forEach((load, head) => {
                const { counts, prefills } = usable.from[index]!;
                load.notePeerLoad(sums[head]!.count - counts[head]!, nowMs);
                load.prefill.notePeers(sums[head]!.prefillMs - Math.max(0, prefills[head]! - ageMs), nowMs);
            })
        );
    };

    /** Tells the instances of the zone of `index` about its long prompts at one engine. */
    const tellZone = (index: number, head: number, prefillMs: number, nowMs: number): void =>
        fleet.forEach(({ loads }, other) => {
            if (other !== index && other % zones === index % zones) {
                const { prefill } = loads[head]!;
                prefill.notePeers(prefill.totalMs(nowMs) - prefill.ownMs(nowMs) + prefillMs, nowMs);
            }
        });

    const send = (request: FleetRequest): void => {
        const nowMs = request.atMs;
        const index = Math.floor(request.instance * instances);
        const { loads, bias, decider } = fleet[index]!;
        const { promptTokens, answerTokens, objectiveMs } = request;
        const size = { promptTokens, answerTokens };
        const prediction = {
            ...makeEnginePlacement(engine, engine.models[0]!, size, objectiveMs),
            ...(isTimeBased ? {} : countBased),
        };
        const candidates = engines.map((unused, head): PlacementCandidate => ({
            id: String(head),
            slots: engine.slots,
            load: loads[head]!.estimate(nowMs),
            backlogMs: loads[head]!.prefill.totalMs(nowMs),
            isLocal: head % zones === index % zones,
            isConnected: true,
            isStalled: false,
        }));
        const { firstEventMs: predict, delayCostMs } = prediction;
        const chosen = chooseUpstream({ candidates, predict, delayCostMs, random })!;
        const predictedMs = bias.correct(chosen.predictedMs);
        const head = Number(chosen.id);
        const load = loads[head]!;
        const mean = meanCandidate(candidates)!;
        const { leastMs } = prediction;
        const meanPredictedMs = predict(mean);
        const hasRoom = mean.load < engine.slots;
        const decision = decider.decide({ request, predictedMs, meanPredictedMs, leastMs, hasRoom });
        const end = (outcome: FleetResult["outcome"], firstEventMs: number | undefined, atMs: number): void => {
            decider.noteEnd?.(request, firstEventMs, atMs);
            results.push({ request, outcome, firstEventMs, predictedMs });
        };
        if (decision.kind === "refuse") {
            end("refused", undefined, nowMs);
            if (request.isRetry !== true) {
                const retryAtMs = nowMs + decision.retryAfterMs;
                const later = retries.findIndex(({ atMs }) => atMs > retryAtMs);
                const retry = { ...request, atMs: retryAtMs, isRetry: true, instance: random() };
                retries.splice(later < 0 ? retries.length : later, 0, retry);
            }
            return;
        }
        const extraMs = prediction.extraPrefillMs(Math.min(engine.slots, load.estimate(nowMs)));
        const prefilled = extraMs > 0 ? load.prefill.add(extraMs, nowMs) : (): void => undefined;
        if (tellsAtOnce && extraMs > 0) {
            tellZone(index, head, extraMs, nowMs);
        }
        load.start();
        engines[head]!.add({
            request,
            priority: decision.priority,
            promptLeft: promptTokens,
            produced: 0,
            onFirstEvent: atMs => {
                prefilled();
                bias.observe(chosen.predictedMs, atMs - nowMs);
                const { running, waiting } = engines[head]!;
                load.noteReport({ running: running.length, waiting: waiting.length, slots: engine.slots }, atMs);
                end("answered", atMs - nowMs, atMs);
            },
            onEnd: () => load.end(),
            leavesAtMs: nowMs + (request.patienceMs ?? Infinity),
            onLeave: atMs => {
                prefilled();
                load.end();
                end("left", undefined, atMs);
            },
        }, nowMs);
    };

    let next = 0;
    while (true) {
        const sooner = engines.reduce((first, other) => other.nextAtMs < first.nextAtMs ? other : first);
        const firstMs = requests[next]?.atMs ?? Infinity;
        const retryMs = retries[0]?.atMs ?? Infinity;
        const arrivalMs = Math.min(firstMs, retryMs);
        if (arrivalMs === Infinity && sooner.nextAtMs === Infinity) {
            return results;
        }
        if (nextReportMs <= Math.min(sooner.nextAtMs, arrivalMs)) {
            exchangeReports(nextReportMs);
            nextReportMs += reportEveryMs;
        }
        else if (arrivalMs <= sooner.nextAtMs) {
            send(retryMs < firstMs ? retries.shift()! : requests[next++]!);
        }
        else {
            sooner.advance();
        }
    }
}

export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}
