import { type Cancel, type Timer } from "./timer";

type ScheduledAction = {
    atMs: number;
    readonly order: number;
    readonly periodMs: number | undefined;
    readonly action: () => void;
};

/** A timer that advances only by calls of `advance`. Actions due at the same time run in the order of scheduling. */
export class VirtualTimer implements Timer {
    private currentMs = 0;
    private nextOrder = 0;
    private readonly entries = new Set<ScheduledAction>();

    nowMs = (): number => this.currentMs;

    wallClock = (): Date => new Date(this.currentMs);

    after = (delayMs: number, action: () => void): Cancel => this.add(delayMs, undefined, action);

    every = (periodMs: number, action: () => void): Cancel => this.add(periodMs, periodMs, action);

    /** Advances the time by `durationMs` and runs all actions that become due. */
    advance(durationMs: number): void {
        const untilMs = this.currentMs + durationMs;
        for (let due = this.nextDue(untilMs); due !== undefined; due = this.nextDue(untilMs)) {
            this.currentMs = due.atMs;
            this.reschedule(due);
            due.action();
        }
        this.currentMs = untilMs;
    }

    private add(delayMs: number, periodMs: number | undefined, action: () => void): Cancel {
        const entry: ScheduledAction = { atMs: this.currentMs + delayMs, order: this.nextOrder++, periodMs, action };
        this.entries.add(entry);
        return () => this.entries.delete(entry);
    }

    private nextDue(untilMs: number): ScheduledAction | undefined {
        const due = [...this.entries].filter(entry => entry.atMs <= untilMs);
        return due.sort((a, b) => a.atMs - b.atMs || a.order - b.order)[0];
    }

    private reschedule(entry: ScheduledAction): void {
        if (entry.periodMs === undefined) {
            this.entries.delete(entry);
            return;
        }
        entry.atMs += entry.periodMs;
    }
}
