/**
 * What one entry instance knows about the load of one upstream: its own requests exactly, and the requests of other
 * instances from the last reports of the upstream and of peers. Both kinds of report expire.
 */
import { type AnswerFaults, makeAnswerFaults } from "./answerFaults";
import { makePrefillBacklog, type PrefillBacklog } from "./prefillBacklog";

/** The load that an upstream reports about itself with a response. */
export type LoadReport = { readonly running: number; readonly waiting: number; readonly slots: number };

export type UpstreamLoad = {
    /** Long prompts there that wait to be prefilled. */
    readonly prefill: PrefillBacklog;
    /** Errors and unreadable answers, for which it is avoided. */
    readonly faults: AnswerFaults;
    readonly start: () => void;
    readonly end: () => void;
    readonly noteReport: (report: LoadReport, nowMs: number) => void;
    /** Records the number of requests that other instances report having at the upstream. */
    readonly notePeerLoad: (running: number, nowMs: number) => void;
    /** Records that an event or a response arrived from the upstream. */
    readonly noteProgress: (nowMs: number) => void;
    /** Records that another instance received something from it; `atMs` is on the local clock. */
    readonly notePeerProgress: (atMs: number) => void;
    /** Records that it is unreachable or refused a request: avoided until this instance receives something from it. */
    readonly noteUnreachable: (nowMs: number) => void;
    /** Records that its output is overdue: avoided until any instance receives something from it. */
    readonly noteUnresponsive: (nowMs: number) => void;
    readonly clearSuspicion: () => void;
    /** Records that a peer suspects it. */
    readonly notePeerSuspicion: (nowMs: number) => void;
    /** Whether this instance itself suspects it. */
    readonly isSuspectedLocally: (nowMs: number) => boolean;
    /** When this instance last received something from it. */
    readonly ownProgressAtMs: () => number;
    /** When this or another instance last received something from it. */
    readonly progressAtMs: () => number;
    readonly own: () => number;
    /** Estimated number of requests at the upstream, including those of other instances. */
    readonly estimate: (nowMs: number) => number;
    /** Whether this instance or a peer suspects it, or its answers to this instance are faulty. */
    readonly isStalled: (nowMs: number) => boolean;
};

/** Time over which a reported count of other instances' requests decays to zero: about the duration of a request. */
const reportDecayMs = 1_500;
const peerLoadMaxAgeMs = 1_000;
/** A peer's suspicion lapses after this time unless the peer repeats it. */
const peerSuspicionMs = 700;
/** A suspected upstream is tried again after this time: it may have recovered without receiving any request. */
const suspicionMs = 4_000;

export function makeUpstreamLoad(): UpstreamLoad {
    let own = 0;
    let others = { count: 0, atMs: -Infinity };
    let peers = { count: 0, atMs: -Infinity };
    let stalledAtMs = -Infinity;
    let silentAtMs = -Infinity;
    let peerSuspectedAtMs = -Infinity;
    let progressAtMs = -Infinity;
    let ownProgressAtMs = -Infinity;
    const isDoubted = (nowMs: number): boolean =>
        nowMs - stalledAtMs < suspicionMs
        || (nowMs - silentAtMs < suspicionMs && progressAtMs < silentAtMs);
    const decayed = ({ count, atMs }: { count: number; atMs: number }, decayMs: number, nowMs: number): number =>
        count * Math.max(0, 1 - (nowMs - atMs) / decayMs);
    const faults = makeAnswerFaults();
    return {
        prefill: makePrefillBacklog(),
        faults,
        start: () => {
            own++;
        },
        end: () => {
            own--;
        },
        noteReport: ({ running, waiting }, nowMs) => {
            others = { count: Math.max(0, running + waiting - own), atMs: nowMs };
        },
        notePeerLoad: (running, nowMs) => {
            peers = { count: running, atMs: nowMs };
        },
        noteProgress: nowMs => {
            progressAtMs = nowMs;
            ownProgressAtMs = nowMs;
            stalledAtMs = -Infinity;
        },
        notePeerProgress: atMs => {
            progressAtMs = Math.max(progressAtMs, atMs);
        },
        noteUnreachable: nowMs => {
            stalledAtMs = nowMs;
        },
        noteUnresponsive: nowMs => {
            silentAtMs = nowMs;
        },
        clearSuspicion: () => {
            stalledAtMs = -Infinity;
            silentAtMs = -Infinity;
        },
        notePeerSuspicion: nowMs => {
            peerSuspectedAtMs = nowMs;
        },
        isSuspectedLocally: isDoubted,
        ownProgressAtMs: () => ownProgressAtMs,
        progressAtMs: () => progressAtMs,
        own: () => own,
        estimate: nowMs => {
            const reported = decayed(others, reportDecayMs, nowMs);
            const reportedByPeers = nowMs - peers.atMs < peerLoadMaxAgeMs ? peers.count : 0;
            return own + Math.max(reported, reportedByPeers);
        },
        isStalled: nowMs =>
            isDoubted(nowMs)
            || faults.isBlocked(nowMs)
            // Progress after a peer's suspicion cancels it.
            || (nowMs - peerSuspectedAtMs < peerSuspicionMs && progressAtMs < peerSuspectedAtMs),
    };
}
