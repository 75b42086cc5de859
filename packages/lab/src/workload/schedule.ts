/** The calls of a workload, drawn before the run from a seed: the same seed gives every policy the same calls. */
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

const steps = 2 ** 31;

/** Numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}

const sampledTokens: {
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
    return (sampledTokens[tokens.kind] as (tokens: Tokens, random: Random) => number)(tokens, random);
}

const meanOver = 4_000;

/** Mean lengths of a workload's calls, for turning shares of capacity into rates. */
export function meanTokens({ kinds }: Workload): { readonly prompt: number; readonly answer: number } {
    const random = seededRandom(0);
    const drawn = Array.from({ length: meanOver }, () => draw(kinds, random));
    const mean = (pick: (kind: CallKind) => Tokens): number =>
        drawn.reduce((sum, name) => sum + sample(pick(kinds[name]!), random), 0) / meanOver;
    return { prompt: mean(kind => kind.promptTokens), answer: mean(kind => kind.answerTokens) };
}

/** The rate at an instant. `capacityPerSecond` is what a share of capacity refers to. */
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
    const part = (atSeconds - before.atSeconds) / (after.atSeconds - before.atSeconds);
    return before.rate + part * (after.rate - before.rate);
}

/** Draws all calls of `seconds` by thinning a Poisson process of the greatest rate. */
export function makeSchedule(
    workload: Workload,
    { seed, seconds, capacityPerSecond }: {
        readonly seed: number;
        readonly seconds: number;
        readonly capacityPerSecond: number;
    },
): readonly ScheduledCall[] {
    const random = seededRandom(seed);
    const instants = [...workload.arrivals.map(point => point.atSeconds), 0, seconds];
    const greatest = Math.max(...instants.map(instant => rateAt(workload, instant, capacityPerSecond)));
    const calls: ScheduledCall[] = [];
    const step = (): number => -Math.log(1 - random()) / greatest;
    for (let at = step(); at < seconds; at += step()) {
        if (random() * greatest < rateAt(workload, at, capacityPerSecond)) {
            calls.push(drawCall(workload, at, random));
        }
    }
    return calls;
}

function drawCall({ kinds, workspaces }: Workload, atSeconds: number, random: Random): ScheduledCall {
    const name = draw(kinds, random);
    const { work, systemPrompt, promptTokens, answerTokens, maxTokens } = kinds[name]!;
    return {
        atMs: atSeconds * 1_000,
        kind: name,
        work,
        workspace: draw(workspaces, random),
        systemPrompt,
        promptTokens: sample(promptTokens, random),
        answerTokens: Math.min(maxTokens, sample(answerTokens, random)),
        maxTokens,
    };
}

function draw(weighted: Readonly<Record<string, { readonly weight: number }>>, random: Random): string {
    const entries = Object.entries(weighted);
    let left = random() * entries.reduce((sum, [, { weight }]) => sum + weight, 0);
    return (entries.find(([, { weight }]) => (left -= weight) < 0) ?? entries.at(-1)!)[0];
}
