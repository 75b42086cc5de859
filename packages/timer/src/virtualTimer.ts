import { type Cancel, type Timer } from "./timer";

type Entry = {
    atMs: number;
    readonly order: number;
    readonly periodMs: number | undefined;
    readonly action: () => void;
};

/** Time that passes only when a test says so. Actions due at the same instant run in the order of subscription. */
export class VirtualTimer implements Timer {
    private instantMs = 0;
    private subscribed = 0;
    private readonly entries = new Set<Entry>();

    nowMs = (): number => this.instantMs;

    wallClock = (): Date => new Date(this.instantMs);

    after = (delayMs: number, action: () => void): Cancel => this.add(delayMs, undefined, action);

    every = (periodMs: number, action: () => void): Cancel => this.add(periodMs, periodMs, action);

    /** Lets `durationMs` pass and runs everything that falls due on the way. */
    advance(durationMs: number): void {
        const untilMs = this.instantMs + durationMs;
        for (let due = this.nextDue(untilMs); due !== undefined; due = this.nextDue(untilMs)) {
            this.instantMs = due.atMs;
            this.reschedule(due);
            due.action();
        }
        this.instantMs = untilMs;
    }

    private add(delayMs: number, periodMs: number | undefined, action: () => void): Cancel {
        const entry: Entry = { atMs: this.instantMs + delayMs, order: this.subscribed++, periodMs, action };
        this.entries.add(entry);
        return () => this.entries.delete(entry);
    }

    private nextDue(untilMs: number): Entry | undefined {
        const due = [...this.entries].filter(entry => entry.atMs <= untilMs);
        return due.sort((a, b) => a.atMs - b.atMs || a.order - b.order)[0];
    }

    private reschedule(entry: Entry): void {
        if (entry.periodMs === undefined) {
            this.entries.delete(entry);
            return;
        }
        entry.atMs += entry.periodMs;
    }
}
