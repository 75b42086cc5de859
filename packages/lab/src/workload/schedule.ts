/** Generates the calls of a workload from a seed before the run, so that every policy gets the same calls. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { type CallKind, type Tokens, type Workload } from "./workload";

export type ScheduledCall = {
    readonly atMs: number;
    readonly kind: string;
    readonly work: CallKind["work"];
    readonly workspace: string;
    readonly systemPrompt: string;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly maxTokens: number;
};

type Random = () => number;

const resolution = 2 ** 31;

/** A generator of numbers in [0, 1) that is determined by the seed. */
export function seededRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}

const tokenSamplers: {
    readonly [K in Tokens["kind"]]: (tokens: Extract<Tokens, { kind: K }>, random: Random) => number;
} = {
    fixed: ({ tokens }) => tokens,
    uniform: ({ from, to }, random) => from + Math.floor(random() * (to - from + 1)),
    lognormal: ({ median, sigma, most }, random) => {
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        return Math.max(1, Math.min(most, Math.round(median * Math.exp(sigma * normal))));
    },
};

function sample(tokens: Tokens, random: Random): number {
    return (tokenSamplers[tokens.kind] as (tokens: Tokens, random: Random) => number)(tokens, random);
}

const meanSampleCount = 4_000;

/**
 * Estimates the mean prompt and answer lengths of a workload's calls, which convert a share of capacity into a rate.
 */
export function meanTokens({ kinds }: Workload): { readonly prompt: number; readonly answer: number } {
    const random = seededRandom(0);
    const samples = Array.from({ length: meanSampleCount }, () => drawWeighted(kinds, random));
    const mean = (pick: (kind: CallKind) => Tokens): number =>
        samples.reduce((sum, name) => sum + sample(pick(kinds[name]!), random), 0) / meanSampleCount;
    return { prompt: mean(kind => kind.promptTokens), answer: mean(kind => kind.answerTokens) };
}

/** The arrival rate at a point in time. `shareOfCapacity` is relative to `capacityPerSecond`. */
export function rateAt({ arrivals }: Workload, atSeconds: number, capacityPerSecond: number): number {
    const points = arrivals.map(point => ({
        atSeconds: point.atSeconds,
        rate: "perSecond" in point ? point.perSecond : point.shareOfCapacity * capacityPerSecond,
    }));
    const next = points.findIndex(point => point.atSeconds > atSeconds);
    if (next < 0) {
        return points.at(-1)!.rate;
    }
    const [before, after] = [points[next - 1], points[next]!];
    if (before === undefined) {
        return after.rate;
    }
    const progress = (atSeconds - before.atSeconds) / (after.atSeconds - before.atSeconds);
    return before.rate + progress * (after.rate - before.rate);
}

/** Generates the calls of `seconds` by thinning a Poisson process of the peak rate. */
export function makeSchedule(
    workload: Workload,
    { seed, seconds, capacityPerSecond }: {
        readonly seed: number;
        readonly seconds: number;
        readonly capacityPerSecond: number;
    },
): readonly ScheduledCall[] {
    const random = seededRandom(seed);
    const times = [...workload.arrivals.map(point => point.atSeconds), 0, seconds];
    const peakRate = Math.max(...times.map(time => rateAt(workload, time, capacityPerSecond)));
    const calls: ScheduledCall[] = [];
    const nextInterval = (): number => -Math.log(1 - random()) / peakRate;
    for (let at = nextInterval(); at < seconds; at += nextInterval()) {
        if (random() * peakRate < rateAt(workload, at, capacityPerSecond)) {
            calls.push(drawCall(workload, at, random));
        }
    }
    return calls;
}

function drawCall({ kinds, workspaces }: Workload, atSeconds: number, random: Random): ScheduledCall {
    const name = drawWeighted(kinds, random);
    const { work, systemPrompt, promptTokens, answerTokens, maxTokens } = kinds[name]!;
    return {
        atMs: atSeconds * 1_000,
        kind: name,
        work,
        workspace: drawWeighted(workspaces, random),
        systemPrompt,
        promptTokens: sample(promptTokens, random),
        answerTokens: Math.min(maxTokens, sample(answerTokens, random)),
        maxTokens,
    };
}

function drawWeighted(weighted: Readonly<Record<string, { readonly weight: number }>>, random: Random): string {
    const entries = Object.entries(weighted);
    let remaining = random() * entries.reduce((sum, [, { weight }]) => sum + weight, 0);
    return (entries.find(([, { weight }]) => (remaining -= weight) < 0) ?? entries.at(-1)!)[0];
}
