/**
 * Decides which requests are held back because a segment of their prompt ends the upstreams that answer it.
 *
 * Each process reports the ends of upstreams that it sees, and which segments upstreams write on without ending. All
 * processes merge the reports and come to the same quarantines, whoever saw what. A scope is a service and a model:
 * a segment that ends the upstreams of one model may be sound for another.
 */
import {
    type CrashReport,
    type Prompt,
    type QuarantineNews,
    type QuarantineRecord,
    type SoundReport,
} from "@rattanquay/schema";
import { type CrashEvidence, makeCrashEvidence, type OwnCrash } from "./crashEvidence";
import { findCulprits } from "./findCulprits";
import { containsAll, covers } from "./prompt";
import { makeQuarantineBook, type QuarantineBook, type QuarantineEntry, quarantineId } from "./quarantineBook";
import { makeSoundReports, type SoundReports } from "./soundReports";

export type QuarantineVerdict =
    | { readonly kind: "allowed" }
    /** The request is not held back, to see whether the quarantine is still needed. */
    | { readonly kind: "trial"; readonly quarantine: QuarantineEntry }
    | { readonly kind: "refused"; readonly quarantine: QuarantineEntry; readonly retryAfterMs: number };

export type QuarantineEvent =
    | { readonly kind: "imposed"; readonly quarantine: QuarantineEntry; readonly origin: "own" | "peer" }
    | {
        readonly kind: "lifted";
        readonly quarantine: QuarantineEntry;
        readonly reason: "answered" | "peer" | "expired";
    };

/** What peers must know; empty lists if nothing. */
export type QuarantineContent = Pick<QuarantineNews, "crashes" | "sound" | "quarantines">;

export type SegmentQuarantineOptions = {
    readonly onEvent: (event: QuarantineEvent) => void;
    /** Returns random numbers in [0, 1). */
    readonly random: () => number;
    /** The number of processes that exchange reports. */
    readonly processes: () => number;
};

/** Time for a peer's report about sound segments to arrive, before a decision. */
const reportDelayMs = 30;
/** Such reports are spread over this time for each process that could send one, so that most need not be sent. */
const spreadPerProcessMs = 2;
const maxSpreadMs = 80;
/** After an interval between pulses that is longer than this, the process was suspended; so it is at its start. */
const suspendedAfterMs = 1_500;
/** By then, such a process has received what its peers know, and may know that another one has begun a trial. */
const trialHoldMs = 1_500;
/** Processes are ready for a trial at different moments within this time, so that one begins it and the others know. */
const trialSpreadMs = 1_000;
/** The outcome of a trial is known by then, and callers that were refused return at different moments after it. */
const trialOutcomeMs = 1_500;
const returnSpreadMs = 1_500;

export class SegmentQuarantine {
    private readonly evidence: CrashEvidence;
    private readonly book: QuarantineBook = makeQuarantineBook();
    private readonly sound: SoundReports;
    private readonly trialDelayMs: number;
    private readonly changedCrashes = new Set<string>();
    private readonly changedQuarantines = new Set<string>();
    private decideAtMs: number | undefined;
    private snapshotVersion = 0;
    private lastPulseMs = -Infinity;
    private holdTrialsUntilMs = -Infinity;

    constructor(private readonly options: SegmentQuarantineOptions) {
        this.sound = makeSoundReports(() => this.reportWaitMs());
        this.evidence = makeCrashEvidence(this.sound.isKnown);
        this.trialDelayMs = options.random() * trialSpreadMs;
    }

    /** Decides about a request that is about to be sent. */
    check(scope: string, prompt: Prompt, nowMs: number): QuarantineVerdict {
        const matching = this.book.matching(scope, [prompt]);
        const [quarantine] = [...matching].sort((a, b) => b.nextTrialMs - a.nextTrialMs);
        if (quarantine === undefined) {
            return { kind: "allowed" };
        }
        if (nowMs >= Math.max(quarantine.nextTrialMs + this.trialDelayMs, this.holdTrialsUntilMs)) {
            matching.forEach(({ id }) => {
                this.book.beginTrial(id, nowMs);
                this.announce(id);
            });
            return { kind: "trial", quarantine };
        }
        const untilTrialMs = Math.max(0, quarantine.nextTrialMs + trialSpreadMs - nowMs);
        const retryAfterMs = untilTrialMs + trialOutcomeMs + this.options.random() * returnSpreadMs;
        return { kind: "refused", quarantine, retryAfterMs };
    }

    /** Records requests that an upstream had not begun to answer when it ended. */
    noteCrash({ crash, scope, prompts }: OwnCrash, nowMs: number): void {
        const shared = prompts.filter(({ segments }) => segments.length > 0);
        const report = { crash, scope, ageMs: 0, prompts: [...shared], cleared: [], isRevoked: false };
        if (shared.length > 0 && this.addCrash(report, "own", nowMs)) {
            this.changedCrashes.add(crash);
        }
    }

    /** Records that an upstream began to write an answer at `beganAtMs` and has not ended. */
    noteSound(scope: string, segments: readonly string[], beganAtMs: number, nowMs: number): void {
        const accusing = this.evidence.accusing(scope, beganAtMs);
        for (const segment of segments) {
            this.sound.noteOwn(scope, segment);
            const crashes = accusing(segment);
            if (crashes.length > 0) {
                this.evidence.clear(scope, segment, crashes);
                this.snapshotVersion++;
                this.sound.schedule({ scope, segment, crashes: [...crashes] }, nowMs);
            }
        }
        for (const quarantine of this.book.active()) {
            const isAnswered = quarantine.scope === scope && containsAll(segments, quarantine.segments);
            if (isAnswered && quarantine.lastCrashMs < beganAtMs) {
                this.book.lift(quarantine.id);
                this.announce(quarantine.id);
                this.options.onEvent({ kind: "lifted", quarantine, reason: "answered" });
            }
        }
    }

    /** Records that the upstream of a crash has sent something since, and so did not end. */
    noteAlive(crash: string): void {
        if (this.evidence.revoke(crash)) {
            this.changedCrashes.add(crash);
            this.snapshotVersion++;
        }
    }

    /** Adopts what a peer reports. Returns whether anything of it is new. */
    receive({ crashes, sound, quarantines }: QuarantineContent, nowMs: number): boolean {
        const news = [
            ...sound.map(report => this.addSound(report)),
            ...quarantines.map(record => this.mergeRecord(record, nowMs)),
            ...crashes.map(report => this.addCrash(report, "peer", nowMs)),
        ];
        return news.includes(true);
    }

    /** Takes decisions that are due. Returns what has changed since the last step, to be sent to all peers. */
    step(nowMs: number): QuarantineContent {
        if (this.decideAtMs !== undefined && nowMs >= this.decideAtMs) {
            this.decideAtMs = undefined;
            this.decide(nowMs);
        }
        const { changedCrashes, changedQuarantines } = this;
        const crashes = changedCrashes.size === 0 ? [] : this.evidence.reports(nowMs, changedCrashes);
        const quarantines = changedQuarantines.size === 0 ? [] : this.book.records(nowMs);
        const content = {
            crashes: [...crashes],
            sound: this.sound.takeDue(nowMs),
            quarantines: quarantines.filter(record => changedQuarantines.has(quarantineId(record.scope, record))),
        };
        this.changedCrashes.clear();
        this.changedQuarantines.clear();
        return content;
    }

    /** Whether `step` must be called again soon. */
    isPending(): boolean {
        return this.decideAtMs !== undefined
            || this.sound.isPending()
            || this.changedCrashes.size + this.changedQuarantines.size > 0;
    }

    /** Must be called at intervals: a process that was suspended begins no trials until it has received its peers' state. */
    pulse(nowMs: number): void {
        if (nowMs - this.lastPulseMs > suspendedAfterMs) {
            this.holdTrialsUntilMs = nowMs + trialHoldMs;
        }
        this.lastPulseMs = nowMs;
        for (const quarantine of this.book.expire(nowMs)) {
            this.snapshotVersion++;
            this.options.onEvent({ kind: "lifted", quarantine, reason: "expired" });
        }
    }

    /** Everything that a process needs that knows nothing. */
    snapshot(nowMs: number): QuarantineContent {
        const crashes = [...this.evidence.reports(nowMs)];
        return { crashes, sound: this.sound.knownAmong(crashes), quarantines: [...this.book.records(nowMs)] };
    }

    /** Grows with each change of the snapshot. */
    version(): number {
        return this.snapshotVersion;
    }

    active(): readonly QuarantineEntry[] {
        return this.book.active();
    }

    recentCrashes(nowMs: number, withinMs: number): readonly string[] {
        return this.evidence.recent(nowMs, withinMs);
    }

    /**
     * How long a report waits that all processes could send. Few wait briefly and most for long, so that a few reports
     * are sent before the first one has reached the others, however many they are.
     */
    private reportWaitMs(): number {
        const { random, processes } = this.options;
        const share = 1 + Math.log(random()) / Math.log(Math.max(2, processes()));
        return this.reportSpreadMs() * Math.max(0, share);
    }

    private reportSpreadMs(): number {
        return Math.min(maxSpreadMs, spreadPerProcessMs * this.options.processes());
    }

    private announce(id: string): void {
        this.changedQuarantines.add(id);
        this.snapshotVersion++;
    }

    private addCrash(report: CrashReport, origin: "own" | "peer", nowMs: number): boolean {
        const { random } = this.options;
        if (!this.evidence.add(report, nowMs)) {
            return false;
        }
        this.snapshotVersion++;
        for (const { id } of report.isRevoked ? [] : this.book.matching(report.scope, report.prompts)) {
            if (this.book.addCrash(id, report.crash, nowMs - report.ageMs)) {
                this.announce(id);
            }
        }
        this.sound.scheduleOwn(report, nowMs);
        const waitMs = reportDelayMs + this.reportSpreadMs();
        // Those that saw the crash decide first; the others need not, unless the first have gone.
        const decideAtMs = nowMs + (origin === "own" ? waitMs : 2 * waitMs + random() * waitMs);
        this.decideAtMs = Math.min(this.decideAtMs ?? Infinity, decideAtMs);
        return true;
    }

    private addSound(report: SoundReport): boolean {
        const isNew = this.sound.receive(report);
        const isCleared = this.evidence.clear(report.scope, report.segment, report.crashes);
        this.snapshotVersion += isCleared ? 1 : 0;
        return isNew || isCleared;
    }

    private mergeRecord(record: QuarantineRecord, nowMs: number): boolean {
        const id = quarantineId(record.scope, record);
        const find = (): QuarantineEntry | undefined => this.book.active().find(entry => entry.id === id);
        const before = find();
        const isNew = this.book.merge(record, nowMs);
        const after = find();
        if (before === undefined && after !== undefined) {
            this.options.onEvent({ kind: "imposed", quarantine: after, origin: "peer" });
        }
        if (before !== undefined && after === undefined) {
            this.options.onEvent({ kind: "lifted", quarantine: before, reason: "peer" });
        }
        this.snapshotVersion += isNew ? 1 : 0;
        return isNew;
    }

    private decide(nowMs: number): void {
        for (const scope of this.evidence.scopes()) {
            const known = this.book.active().filter(entry => entry.scope === scope);
            const culprits = findCulprits({
                crashes: this.evidence.standing(scope, nowMs),
                quarantined: known,
                isKnownSound: segment => this.sound.isKnown(scope, segment),
            });
            for (const culprit of culprits) {
                const superseded = known.filter(entry => covers(culprit, entry));
                const quarantine = this.book.impose(scope, culprit, nowMs);
                [quarantine, ...superseded].forEach(({ id }) => this.announce(id));
                this.options.onEvent({ kind: "imposed", quarantine, origin: "own" });
            }
        }
    }
}
