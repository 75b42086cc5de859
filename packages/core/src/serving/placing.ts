/**
 * Placing a request: which upstream it is sent to.
 *
 * Answers the load in which many entry instances place at once and each sees the others' work late: the policy predicts
 * when the first event would leave each candidate, and takes the best of a few that it draws by lot, so that the
 * instances do not all take the same one.
 */
import { type EngineModel, type EngineProfile } from "@rattanquay/schema";

/** An upstream that may take the request. */
export type PlacingCandidate = {
    readonly id: string;
    readonly slots: number;
    /** Requests at it, as far as is known. */
    readonly load: number;
    /** Those of this instance among them. */
    readonly own: number;
    readonly isLocal: boolean;
    /** A kept connection to it is idle. */
    readonly isConnected: boolean;
    /** Nothing came from it lately though something was due. */
    readonly isStalled: boolean;
};

/** The request's sizes, in tokens; missing for plain services. */
export type PlacingWork = { readonly promptTokens: number; readonly answerTokens: number };

export type PlacingQuestion = {
    readonly candidates: readonly PlacingCandidate[];
    readonly predict: (candidate: PlacingCandidate) => number;
    /** Numbers in [0, 1). */
    readonly random: () => number;
};

export type Placed = { readonly id: string; readonly predictedMs: number };

/** What a request to another zone costs beyond its way: bytes between zones are dear. */
const remoteCostMs = 15;
/** What a new connection costs beyond its handshake: upstreams take only so many. */
const connectionCostMs = 6;
/**
 * Requests of other instances that are at an upstream unheard of for each own one there: all place alike, and hear of each
 * other late. Without them many would take the same upstream at once (Mitzenmacher, "How useful is old information?").
 */
const unheardPerOwn = 8;
/** Candidates drawn for a choice. */
const drawn = 4;

type Policy = (question: PlacingQuestion) => PlacingCandidate | undefined;

/** How an upstream is chosen, by name. The first is the default; the others are baselines. */
export const placingPolicies = {
    predictedFirstEvent: ({ candidates, predict, random }) =>
        best(
            draw(candidates, drawn, random),
            candidate => predict(withUnheard(candidate)) + extraCostMs(candidate),
        ),
    powerOfTwo: ({ candidates, random }) => best(draw(candidates, 2, random), ({ load, slots }) => load / slots),
    leastLoaded: ({ candidates }) => best(candidates, ({ load, slots }) => load / slots),
    random: ({ candidates, random }) => draw(candidates, 1, random)[0],
} as const satisfies Record<string, Policy>;

export type PlacingPolicy = keyof typeof placingPolicies;

/** Chooses an upstream; those that stall are taken only when there is no other. */
export function place(question: PlacingQuestion, policy: PlacingPolicy = "predictedFirstEvent"): Placed | undefined {
    const moving = question.candidates.filter(({ isStalled }) => !isStalled);
    const candidates = moving.length > 0 ? moving : question.candidates;
    const chosen = placingPolicies[policy]({ ...question, candidates });
    return chosen === undefined ? undefined : { id: chosen.id, predictedMs: question.predict(chosen) };
}

function withUnheard(candidate: PlacingCandidate): PlacingCandidate {
    return { ...candidate, load: candidate.load + candidate.own * unheardPerOwn };
}

function extraCostMs({ isLocal, isConnected }: PlacingCandidate): number {
    return (isLocal ? 0 : remoteCostMs) + (isConnected ? 0 : connectionCostMs);
}

function best(
    candidates: readonly PlacingCandidate[],
    costOf: (candidate: PlacingCandidate) => number,
): PlacingCandidate | undefined {
    let found: { readonly candidate: PlacingCandidate; readonly cost: number } | undefined;
    for (const candidate of candidates) {
        const cost = costOf(candidate);
        if (found === undefined || cost < found.cost) {
            found = { candidate, cost };
        }
    }
    return found?.candidate;
}

/** Draws without putting back. */
function draw(candidates: readonly PlacingCandidate[], count: number, random: () => number): PlacingCandidate[] {
    const left = [...candidates];
    const chosen: PlacingCandidate[] = [];
    while (left.length > 0 && chosen.length < count) {
        chosen.push(...left.splice(Math.floor(random() * left.length), 1));
    }
    return chosen;
}

/** Milliseconds of one pass of a group with `running` requests: the time between two events of a stream. */
export function passMs(engine: EngineProfile, model: EngineModel, running: number): number {
    const contextThousands = (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1_000;
    const perRequestMs = engine.perRequestMs + contextThousands * engine.perThousandContextMs;
    return model.pace * engine.stepsPerPass * (engine.stepMs + running * perRequestMs);
}

/** Milliseconds that a group reads at a prompt. */
export function readingMs(engine: EngineProfile, model: EngineModel, promptTokens: number): number {
    const millionPairs = promptTokens * promptTokens / 2 / 1_000_000;
    return model.pace * (promptTokens / engine.promptTokensPerMs + millionPairs * engine.perMillionPairsMs);
}

/** Milliseconds until a request to a group with `load` requests at it would see its first event. */
export function predictFirstEventMs(
    engine: EngineProfile,
    model: EngineModel,
    load: number,
    { promptTokens }: PlacingWork,
): number {
    const running = Math.min(load, engine.slots);
    const pass = passMs(engine, model, running + 1);
    const reading = readingMs(engine, model, promptTokens);
    const waitingAhead = Math.max(0, load + 1 - engine.slots);
    const passesOfAnswer = engine.usualAnswerTokens / engine.stepsPerPass;
    const serviceMs = readingMs(engine, model, engine.usualPromptTokens) + passesOfAnswer * pass;
    const slotMs = waitingAhead * serviceMs / engine.slots;
    return slotMs + pass * (running > 0 ? 1.5 : 1) + reading;
}
