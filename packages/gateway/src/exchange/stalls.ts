/**
 * Whether a send has stood still for too long and is better made elsewhere.
 *
 * Answers the load in which a member of a group dies without a sign: the head goes on taking requests and nothing moves.
 * A head that is merely busy still sends events of other streams, so a silence counts only if nothing at all came from the
 * upstream. What may not be repeated is never given up for a silence.
 */
import { type Job } from "./job";
import { type Placement } from "./placement";

export type StallQuestion = {
    readonly nowMs: number;
    readonly job: Job;
    readonly placement: Placement;
    readonly sentAtMs: number;
    readonly lastBytesAtMs: number;
    readonly hasHead: boolean;
    /** When anything came from this upstream, for whichever request. */
    readonly upstreamProgressAtMs: number;
    readonly mayRepeat: boolean;
    readonly hasOthers: () => boolean;
};

/** A pass with much reading in it takes up to about half of this. */
const eventSilenceMs = 450;
/** Silence of an upstream as a whole after which a request without its first event is sent elsewhere. */
const upstreamSilenceMs = 450;
/** A first event may be this much later than predicted before its upstream is doubted at all. */
const predictionFactor = 2;
const predictionSlackMs = 150;
/** A plain answer may take this many times its objective. */
const plainPatience = 1.5;

export function isStalled(question: StallQuestion): boolean {
    return question.mayRepeat && isSilent(question) && question.hasOthers();
}

function isSilent(
    { nowMs, job, placement, sentAtMs, lastBytesAtMs, hasHead, upstreamProgressAtMs }: StallQuestion,
): boolean {
    if (job.service.engine === undefined) {
        return nowMs - sentAtMs > job.route.objectiveMs * plainPatience;
    }
    if (hasHead) {
        return nowMs - lastBytesAtMs > Math.max(eventSilenceMs, job.route.longestPauseMs ?? 0);
    }
    const dueMs = placement.predictedMs * predictionFactor + predictionSlackMs;
    const silentSinceMs = Math.max(sentAtMs, upstreamProgressAtMs);
    return nowMs - sentAtMs > dueMs && nowMs - silentSinceMs > upstreamSilenceMs;
}
