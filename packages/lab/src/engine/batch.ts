/** Continuous batching: each step yields one token per running sequence, and takes longer the more sequences run. */
import { type Cancel, type Timer } from "@rattanquay/timer";

/** One request in the engine's batch. */
export type Sequence = {
    readonly id: string;
    /** Higher numbers leave the waiting queue first. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly prefix: string;
    /** The index of the first token to generate; above 0 when a stream is resumed. */
    readonly from: number;
    /** The index at which the sequence ends. */
    readonly length: number;
    readonly onToken: (index: number) => void;
    readonly onEnd: () => void;
};

export type BatchOptions = {
    readonly maxRunning: number;
    readonly stepBaseMs: number;
    readonly stepPerSequenceMs: number;
    readonly prefillTokensPerMs: number;
    readonly cachedPrefixes: number;
};

type Running = { readonly sequence: Sequence; next: number };

export class Batch {
    private waiting: Sequence[] = [];
    private running: Running[] = [];
    private readonly prefixes = new Set<string>();
    private stepping = false;
    private cancelStep: Cancel = () => undefined;
    private nextStepAtMs = 0;
    /** Multiplies the duration of every step. */
    slowFactor = 1;

    constructor(private readonly timer: Timer, private readonly options: BatchOptions) {}

    get load(): { readonly running: number; readonly waiting: number } {
        return { running: this.running.length, waiting: this.waiting.length };
    }

    add(sequence: Sequence): void {
        const position = this.waiting.findIndex(other => other.priority < sequence.priority);
        this.waiting.splice(position < 0 ? this.waiting.length : position, 0, sequence);
        if (!this.stepping) {
            this.stepping = true;
            this.nextStepAtMs = this.timer.nowMs();
            this.scheduleStep();
        }
    }

    cancel(id: string): void {
        this.waiting = this.waiting.filter(sequence => sequence.id !== id);
        this.running = this.running.filter(({ sequence }) => sequence.id !== id);
    }

    stop(): void {
        this.cancelStep();
        this.stepping = false;
        this.waiting = [];
        this.running = [];
    }

    private scheduleStep(): void {
        const prefillMs = this.admitWaiting();
        const { stepBaseMs, stepPerSequenceMs } = this.options;
        const durationMs = (stepBaseMs + stepPerSequenceMs * this.running.length + prefillMs) * this.slowFactor;
        this.nextStepAtMs += durationMs;
        this.cancelStep = this.timer.after(
            Math.max(0, this.nextStepAtMs - this.timer.nowMs()),
            () => this.finishStep(),
        );
    }

    private admitWaiting(): number {
        let prefillMs = 0;
        while (this.running.length < this.options.maxRunning && this.waiting.length > 0) {
            const sequence = this.waiting.shift()!;
            this.running.push({ sequence, next: sequence.from });
            prefillMs += this.prefillMs(sequence);
        }
        return prefillMs;
    }

    private prefillMs(sequence: Sequence): number {
        const isCached = this.prefixes.delete(sequence.prefix);
        this.prefixes.add(sequence.prefix);
        if (this.prefixes.size > this.options.cachedPrefixes) {
            this.prefixes.delete(this.prefixes.values().next().value!);
        }
        const tokens = isCached ? Math.min(1, sequence.promptTokens) : sequence.promptTokens + sequence.from;
        return tokens / this.options.prefillTokensPerMs;
    }

    private finishStep(): void {
        for (const entry of [...this.running]) {
            entry.sequence.onToken(entry.next++);
            if (entry.next >= entry.sequence.length) {
                this.running = this.running.filter(other => other !== entry);
                entry.sequence.onEnd();
            }
        }
        if (this.running.length + this.waiting.length === 0) {
            this.stepping = false;
            return;
        }
        this.scheduleStep();
    }
}
