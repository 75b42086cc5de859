/**
 * What long prompts cost an engine and the requests beside them.
 *
 * Prompts up to a multiple of the usual one are treated alike: the count of requests describes the load of an upstream
 * well enough. A longer one is prefilled in chunks between the steps of the running requests, and holds up the
 * requests behind it for a time that their count does not show. All times are in milliseconds.
 */
import { type EngineModel, type EngineProfile } from "@rattanquay/schema";
import { type PlacementCandidate } from "./placement";
import { forwardPassMs, predictFirstEventMs, prefillMs, type RequestSize, usualServiceMs } from "./prediction";

/** Prompts of at least this multiple of the model's usual prompt are long. */
const longPromptFactor = 3;

export function isLongPrompt({ usualPromptTokens }: EngineProfile, promptTokens: number): boolean {
    return usualPromptTokens > 0 && promptTokens >= longPromptFactor * usualPromptTokens;
}

/** For how long a long prompt holds up requests behind it, beyond what a usual prompt does; 0 for other prompts. */
export function extraPrefillMs(
    engine: EngineProfile,
    model: EngineModel,
    promptTokens: number,
    running: number,
): number {
    if (!isLongPrompt(engine, promptTokens)) {
        return 0;
    }
    const { usualPromptTokens, chunkTokens = Infinity, stepsPerPass } = engine;
    const extraChunks = Math.ceil(promptTokens / chunkTokens) - Math.ceil(usualPromptTokens / chunkTokens);
    const stepMs = forwardPassMs(engine, model, running) / stepsPerPass;
    return prefillMs(engine, model, promptTokens) - prefillMs(engine, model, usualPromptTokens)
        + Math.max(0, extraChunks) * stepMs;
}

/** How a request to an engine service is placed: all that its choice of an upstream depends on. */
export type EnginePlacement = {
    readonly firstEventMs: (candidate: PlacementCandidate) => number;
    /** The cost of the delay that the request causes others; undefined if it has no long prompt. */
    readonly delayCostMs: ((candidate: PlacementCandidate) => number) | undefined;
    /** Time to its first event at an upstream without other requests if its prompt is long, else 0. */
    readonly leastMs: number;
    /** For how long it holds up requests behind it at an upstream with `load` requests. */
    readonly extraPrefillMs: (load: number) => number;
};

export function makeEnginePlacement(
    engine: EngineProfile,
    model: EngineModel,
    size: RequestSize,
    objectiveMs: number,
): EnginePlacement {
    const runningAt = ({ load }: PlacementCandidate): number => Math.min(load, engine.slots);
    const usual = { promptTokens: engine.usualPromptTokens, answerTokens: size.answerTokens };
    const firstEventOfMs = (candidate: PlacementCandidate, requestSize: RequestSize): number =>
        predictFirstEventMs(engine, model, candidate.load, requestSize) + (candidate.backlogMs ?? 0);
    const extraMs = (load: number): number =>
        extraPrefillMs(engine, model, size.promptTokens, Math.min(load, engine.slots));
    const isLong = isLongPrompt(engine, size.promptTokens);
    return {
        leastMs: isLong ? predictFirstEventMs(engine, model, 0, usual) + extraMs(0) : 0,
        firstEventMs: isLong
            ? candidate => firstEventOfMs(candidate, usual) + extraMs(runningAt(candidate))
            : candidate => firstEventOfMs(candidate, size),
        /** The requests that arrive while it is prefilled, by how much the last of them would miss the objective. */
        delayCostMs: !isLong ? undefined : candidate => {
            const heldUpMs = extraMs(runningAt(candidate)) + (candidate.backlogMs ?? 0);
            const lateByMs = Math.max(
                0,
                heldUpMs + firstEventOfMs({ ...candidate, backlogMs: 0 }, usual) - objectiveMs,
            );
            const arrivals = heldUpMs * runningAt(candidate) / usualServiceMs(engine, model, runningAt(candidate));
            return arrivals * lateByMs;
        },
        extraPrefillMs: extraMs,
    };
}
