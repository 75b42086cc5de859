/** Runs the quarantine of one process: observes its attempts, exchanges reports with peers and writes logs and metrics. */
import {
    type Hold,
    holdsBack,
    type QuarantineEntry,
    type QuarantineEvent,
    type QuarantineVerdict,
    SegmentQuarantine,
} from "@rattanquay/core";
import { type Prompt, type QuarantineNews } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type GatewayContext } from "../gatewayContext";
import { type KnownUpstream, type UpstreamRegistry } from "../upstreams";
import { type AttemptWatch, watchAttempt, type WatchedAttempt } from "./attemptWatch";
import { readQuarantineNews, toQuarantineNews } from "./quarantineNews";

/** A request that is about to be sent. */
export type PromptRequest = {
    readonly requestId: string | undefined;
    readonly service: string;
    readonly model: string | undefined;
    readonly workspace: string | undefined;
    readonly promptSegments: readonly string[];
};

/** Reports within this time share one message. */
const stepDelayMs = 10;
const pulseEveryMs = 250;
/** For how long after a crash its upstream may prove that it has not ended. */
const aliveCheckMs = 3_000;
/** Bytes that were on their way when an upstream ended arrive within this time. */
const bytesInFlightMs = 300;
/** A prompt may have thousands of segments; a log line names the first of them and their number. */
const maxLoggedSegments = 16;
const maxLoggedIdLength = 400;

type OwnCut = { readonly upstream: KnownUpstream; readonly atMs: number };
type RunningAttempt = WatchedAttempt & { hasOutput: boolean };

export class Quarantine {
    private readonly state: SegmentQuarantine;
    private readonly running = new Set<RunningAttempt>();
    /** The last connection that each recent crash cut off here. */
    private readonly cutsByCrash = new Map<string, OwnCut>();
    private readonly cancelPulse: Cancel;
    private cancelStep: Cancel | undefined;
    private broadcast: (news: QuarantineNews) => void = () => undefined;
    private readonly listeners = new Set<() => void>();
    private notifiedVersion = 0;

    /** `processes` returns the number of gateway processes. */
    constructor(
        private readonly context: GatewayContext,
        private readonly registry: UpstreamRegistry,
        processes: () => number,
    ) {
        const { timer, random } = context;
        this.state = new SegmentQuarantine({ onEvent: event => this.handleEvent(event), random, processes });
        this.cancelPulse = timer.every(pulseEveryMs, () => this.pulse());
    }

    /** Decides whether a request may be sent now, and logs why not. */
    check(request: PromptRequest): QuarantineVerdict {
        const nowMs = this.context.timer.nowMs();
        const verdict = this.state.check(scopeOf(request), promptOf(request), nowMs);
        if (verdict.kind !== "allowed") {
            const { log, metrics } = this.context;
            const fields = { requestId: request.requestId, ...evidenceOf(verdict.quarantine, nowMs) };
            if (verdict.kind === "refused") {
                log.info("quarantineApplied", fields);
            }
            else {
                log.info("quarantineTrial", fields);
                // Peers must know at once, so that they do not begin a trial too.
                this.step();
            }
            metrics.quarantinedRequests.inc({ decision: verdict.kind });
        }
        return verdict;
    }

    /** Observes an attempt; it is aborted if its prompt is quarantined before the upstream writes anything. */
    watch(request: PromptRequest, upstream: KnownUpstream, abort: WatchedAttempt["abort"]): AttemptWatch {
        const prompt = promptOf(request);
        if (prompt.segments.length === 0) {
            return unwatched;
        }
        const attempt: RunningAttempt = { scope: scopeOf(request), prompt, upstream, abort, hasOutput: false };
        const watch = watchAttempt(attempt, {
            state: this.state,
            timer: this.context.timer,
            isExpectedToServe: ({ record }) => this.registry.isExpectedToServe(record.id),
            onCrash: () => this.noteCrash(attempt),
        });
        this.running.add(attempt);
        return {
            noteOutput: () => {
                attempt.hasOutput = true;
                watch.noteOutput();
            },
            noteEnd: end => {
                this.running.delete(attempt);
                watch.noteEnd(end);
                this.schedule();
            },
        };
    }

    /** Adopts a peer's report. Returns whether anything of it is new. */
    receive(news: QuarantineNews): boolean {
        const isNew = this.state.receive(readQuarantineNews(news), this.context.timer.nowMs());
        this.schedule();
        return isNew;
    }

    /** Everything that a peer needs that knows nothing; undefined if there is nothing. */
    snapshot(): QuarantineNews | undefined {
        return toQuarantineNews(this.state.snapshot(this.context.timer.nowMs()), this.context.settings);
    }

    /** Grows with each change of the snapshot. */
    version(): number {
        return this.state.version();
    }

    /** Adds a listener, which is called when the snapshot has changed. */
    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    /** Sets how changes are sent to all peers. */
    setBroadcast(broadcast: (news: QuarantineNews) => void): void {
        this.broadcast = broadcast;
    }

    stop(): void {
        this.cancelPulse();
        this.cancelStep?.();
    }

    private handleEvent(event: QuarantineEvent): void {
        const { log, metrics, timer } = this.context;
        const fields = evidenceOf(event.quarantine, timer.nowMs());
        metrics.quarantineChanges.inc({ change: event.kind });
        metrics.quarantines.set(this.state.active().length);
        if (event.kind === "lifted") {
            log.warn("quarantineLifted", { ...fields, reason: event.reason });
            return;
        }
        log.warn("quarantineImposed", { ...fields, origin: event.origin });
        this.abortMatching(event.quarantine);
    }

    private abortMatching(quarantine: QuarantineEntry): void {
        for (const attempt of [...this.running]) {
            const isHeldBack = attempt.scope === quarantine.scope && holdsBack(quarantine, attempt.prompt);
            if (isHeldBack && !attempt.hasOutput) {
                attempt.abort("a segment of its prompt was quarantined");
            }
        }
    }

    private noteCrash({ upstream, scope, prompt }: WatchedAttempt): void {
        const { timer, log, metrics } = this.context;
        const crash = crashOf(upstream);
        const nowMs = timer.nowMs();
        this.cutsByCrash.set(crash, { upstream, atMs: nowMs });
        metrics.suspectedCrashes.inc();
        log.info("crashSuspected", { upstream: upstream.record.id, crash, scope, ...promptFields(prompt) });
        this.state.noteCrash({ crash, scope, prompts: [prompt] }, nowMs);
        this.schedule();
    }

    private pulse(): void {
        const nowMs = this.context.timer.nowMs();
        this.state.pulse(nowMs);
        if (this.cutsByCrash.size > 0) {
            this.revokeWrong(nowMs);
            this.schedule();
        }
    }

    /** Takes back crashes whose upstream has sent something since: only connections were reset. */
    private revokeWrong(nowMs: number): void {
        const recent = new Set(this.state.recentCrashes(nowMs, aliveCheckMs));
        for (const [crash, { upstream, atMs }] of this.cutsByCrash) {
            const hasSent = upstream.load.ownProgressAtMs() > atMs + bytesInFlightMs;
            if (hasSent && recent.has(crash) && crashOf(upstream) === crash) {
                this.context.log.info("crashRevoked", { upstream: upstream.record.id, crash });
                this.state.noteAlive(crash);
            }
            if (!recent.has(crash)) {
                this.cutsByCrash.delete(crash);
            }
        }
    }

    private step(): void {
        const news = toQuarantineNews(this.state.step(this.context.timer.nowMs()), this.context.settings);
        if (news !== undefined) {
            this.broadcast(news);
        }
        this.schedule();
    }

    private schedule(): void {
        if (this.state.version() !== this.notifiedVersion) {
            this.notifiedVersion = this.state.version();
            this.listeners.forEach(listener => listener());
        }
        if (this.state.isPending() && this.cancelStep === undefined) {
            this.cancelStep = this.context.timer.after(stepDelayMs, () => {
                this.cancelStep = undefined;
                this.step();
            });
        }
    }
}

const unwatched: AttemptWatch = { noteOutput: () => undefined, noteEnd: () => undefined };

function scopeOf({ service, model }: PromptRequest): string {
    return `${service}/${model ?? ""}`;
}

/** The last segment belongs to the request or its session alone, so that it says nothing about other requests. */
function promptOf({ workspace = "", promptSegments }: PromptRequest): Prompt {
    return { workspace, segments: promptSegments.slice(0, -1) };
}

function crashOf({ record: { id, bornAtMs } }: KnownUpstream): string {
    return `${id}@${bornAtMs}`;
}

function promptFields({ workspace, segments }: Hold) {
    return { workspace, segments: segments.slice(0, maxLoggedSegments), segmentCount: segments.length };
}

/** What a quarantine rests on, and how old that is, for log lines. */
function evidenceOf(quarantine: QuarantineEntry, nowMs: number) {
    const { id, segments, workspace, round, crashes, sinceMs, lastCrashMs, trials, nextTrialMs } = quarantine;
    return {
        quarantine: id.slice(0, maxLoggedIdLength),
        ...promptFields({ workspace, segments }),
        round,
        crashes,
        ageMs: Math.round(nowMs - sinceMs),
        lastCrashAgeMs: Math.round(nowMs - lastCrashMs),
        trials,
        nextTrialInMs: Math.max(0, Math.round(nextTrialMs - nowMs)),
    };
}
