/** Chooses an upstream for one send, by what is known of all that could take it. */
import { place, type PlacingCandidate, predictFirstEventMs } from "@rattanquay/core";
import { type KnownUpstream } from "../upstreams";
import { type Job } from "./job";
import { type Reach } from "./reach";

export type Placement = {
    readonly upstream: KnownUpstream;
    /** Until the first event, by what the engine publishes and by how far that was off lately. */
    readonly predictedMs: number;
    /** Tells the prediction's error from what became of it: the time until the first event, or at least that. */
    readonly noteFirstEvent: (afterMs: number) => void;
    readonly candidates: number;
};

/** Time that a plain upstream takes for a request, while its service does not say. */
const plainWorkMs = 50;

export function choosePlacement(job: Job, tried: ReadonlySet<string>, reach: Reach): Placement | undefined {
    const { book, surroundings: { timer, settings, random } } = reach;
    const nowMs = timer.nowMs();
    const known = candidatesOf(job, reach).filter(({ record }) => !tried.has(record.id));
    const candidates = known.map(({ record, load, pool }): PlacingCandidate => ({
        id: record.id,
        slots: job.service.engine?.slots ?? record.slots,
        load: load.estimate(nowMs),
        own: load.own(),
        isLocal: record.availabilityZone === settings.availabilityZone,
        isConnected: pool.hasIdle(),
        isStalled: load.isStalled(nowMs),
    }));
    const placed = place({ candidates, predict: predictorOf(job), random });
    const upstream = placed === undefined ? undefined : book.get(placed.id);
    if (placed === undefined || upstream === undefined) {
        return undefined;
    }
    const bias = reach.biases.of(`${job.service.service}/${job.caller.model ?? ""}`);
    return {
        upstream,
        predictedMs: bias.correct(placed.predictedMs),
        noteFirstEvent: afterMs => bias.note(placed.predictedMs, afterMs),
        candidates: candidates.length,
    };
}

/** Upstreams that take this kind of request now. */
function candidatesOf({ service, caller }: Job, { book }: Reach): readonly KnownUpstream[] {
    return service.engine === undefined
        ? book.plain(service.service)
        : book.heads(service.service, caller.model ?? "");
}

function predictorOf({ service, caller }: Job): (candidate: PlacingCandidate) => number {
    const { engine } = service;
    const model = engine?.models.find(offered => offered.model === caller.model);
    if (engine === undefined || model === undefined) {
        return ({ load, slots }) => plainWorkMs * (1 + load / Math.max(1, slots));
    }
    const work = {
        promptTokens: caller.promptTokens ?? engine.usualPromptTokens,
        answerTokens: caller.expectedAnswerTokens ?? engine.usualAnswerTokens,
    };
    return ({ load }) => predictFirstEventMs(engine, model, load, work);
}
