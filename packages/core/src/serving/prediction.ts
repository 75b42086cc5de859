/** Predicts how long an engine needs for a request, from its published profile. All times are in milliseconds. */
import { type EngineModel, type EngineProfile } from "@rattanquay/schema";

/** The request's size in tokens; absent for plain services. */
export type RequestSize = { readonly promptTokens: number; readonly answerTokens: number };

/** Duration of one forward pass of a group with `running` requests: the time between two events of a stream. */
export function forwardPassMs(engine: EngineProfile, model: EngineModel, running: number): number {
    const contextThousands = (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1_000;
    const perRequestMs = engine.perRequestMs + contextThousands * engine.perThousandContextMs;
    return model.pace * engine.stepsPerPass * (engine.stepMs + running * perRequestMs);
}

/** Time that a group needs for the prefill of a prompt. */
export function prefillMs(engine: EngineProfile, model: EngineModel, promptTokens: number): number {
    const millionPairs = promptTokens * promptTokens / 2 / 1_000_000;
    return model.pace * (promptTokens / engine.promptTokensPerMs + millionPairs * engine.perMillionPairsMs);
}

/** Predicted time to the first event for a new request to a group that already has `load` requests. */
export function predictFirstEventMs(
    engine: EngineProfile,
    model: EngineModel,
    load: number,
    { promptTokens }: RequestSize,
): number {
    const running = Math.min(load, engine.slots);
    const passDurationMs = forwardPassMs(engine, model, running + 1);
    const promptPrefillMs = prefillMs(engine, model, promptTokens);
    const waitingAhead = Math.max(0, load + 1 - engine.slots);
    const serviceMs = serviceAtMs(engine, model, passDurationMs);
    const slotWaitMs = waitingAhead * serviceMs / engine.slots;
    return slotWaitMs + passDurationMs * (running > 0 ? 1.5 : 1) + promptPrefillMs;
}

/** How long a usual request is in a group that runs `running` requests. */
export function usualServiceMs(engine: EngineProfile, model: EngineModel, running: number): number {
    return serviceAtMs(engine, model, forwardPassMs(engine, model, running));
}

function serviceAtMs(engine: EngineProfile, model: EngineModel, passDurationMs: number): number {
    const passesPerAnswer = engine.usualAnswerTokens / engine.stepsPerPass;
    return prefillMs(engine, model, engine.usualPromptTokens) + passesPerAnswer * passDurationMs;
}
