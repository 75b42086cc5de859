/** The request mixes of the two deployments of docs/design/hard-load.md, for plays on a fake fleet. */
import { type EngineProfile } from "@rattanquay/schema";
import { forwardPassMs, prefillMs } from "../index";
import { type FleetRequest, makeRandom } from "./fakeFleet";

export type Mix = {
    readonly name: string;
    readonly heads: number;
    readonly objectiveMs: number;
    readonly engine: EngineProfile;
};

const common = {
    memoryTokens: 1_000_000,
    perRequestMs: 0.13,
    perThousandContextMs: 0.01,
    perMillionPairsMs: 0.43,
    chunkTokens: 2_048,
    reportLagMs: 200,
    loadsPerSecond: 5,
    loadsAtOnce: 7,
    formationMs: 300,
};
const engineA = { ...common, slots: 21, stepMs: 5.95, stepsPerPass: 7, promptTokensPerMs: 50.7 };
const engineB = { ...common, slots: 24, stepMs: 6.07, stepsPerPass: 5, promptTokensPerMs: 46 };
const modelOfPace = (pace: number) => [{ model: "m", groupSize: 4, share: 1, pace, loadMs: 12_000, warmupMs: 1_000 }];

export const mixes: readonly Mix[] = [
    {
        name: "A, smaller model",
        heads: 28,
        objectiveMs: 202,
        engine: { ...engineA, models: modelOfPace(0.6), usualPromptTokens: 674, usualAnswerTokens: 217 },
    },
    {
        name: "A, larger model",
        heads: 7,
        objectiveMs: 302,
        engine: { ...engineA, models: modelOfPace(1), usualPromptTokens: 1_420, usualAnswerTokens: 175 },
    },
    {
        name: "B, smaller model",
        heads: 20,
        objectiveMs: 301,
        engine: { ...engineB, models: modelOfPace(0.6), usualPromptTokens: 674, usualAnswerTokens: 115 },
    },
    {
        name: "B, larger model",
        heads: 10,
        objectiveMs: 502,
        engine: { ...engineB, models: modelOfPace(1), usualPromptTokens: 1_420, usualAnswerTokens: 115 },
    },
];

/** Share of requests with a long prompt, and its length as a multiple of the usual one. */
export const longShare = 0.05;
const meanLongFactor = 8;
const longFactorSpread = 4;

/** Requests per millisecond that all engines together can process. */
export function capacityOf({ engine, heads }: Mix, share: number): number {
    const model = engine.models[0]!;
    const prompt = engine.usualPromptTokens;
    const meanPrefillMs = (1 - share) * prefillMs(engine, model, prompt)
        + share * prefillMs(engine, model, meanLongFactor * prompt);
    const passesPerAnswer = engine.usualAnswerTokens / engine.stepsPerPass;
    const decodesPerMs = engine.slots / (passesPerAnswer * forwardPassMs(engine, model, engine.slots));
    return heads * decodesPerMs / (1 + decodesPerMs * meanPrefillMs);
}

export type ArrivalOptions = {
    readonly mix: Mix;
    /** The rate of arrivals per millisecond. */
    readonly rate: number;
    readonly share: number;
    readonly durationMs: number;
    readonly seed: number;
};

/** Poisson arrivals of short requests and, in the given share, of long ones. */
export function makeArrivals({ mix, rate, share, durationMs, seed }: ArrivalOptions): readonly FleetRequest[] {
    const { engine: { usualPromptTokens, usualAnswerTokens }, objectiveMs } = mix;
    const random = makeRandom(seed);
    const requests: FleetRequest[] = [];
    for (let atMs = 0; atMs < durationMs;) {
        atMs -= Math.log(1 - random()) / rate;
        const isLong = random() < share;
        const factor = isLong ? meanLongFactor + (random() - 0.5) * longFactorSpread : 0.5 + random();
        requests.push({
            atMs,
            kind: isLong ? "long" : "short",
            promptTokens: Math.round(factor * usualPromptTokens),
            answerTokens: Math.round(usualAnswerTokens * (0.5 + random())),
            objectiveMs,
            instance: random(),
        });
    }
    return requests;
}
