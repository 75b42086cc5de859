/**
 * The quarantines in force, as this process knows them.
 *
 * Every process keeps the same book. A quarantine is identified by its scope and segments; its rounds are numbered, and
 * of two records of the same round the lifted one holds, so that records may arrive in any order.
 */
import { type Prompt, type QuarantineRecord } from "@rattanquay/schema";
import { type Culprit } from "./findCulprits";
import { covers, type Hold, holdsBack } from "./prompt";

export type QuarantineEntry = Hold & {
    readonly id: string;
    readonly scope: string;
    readonly round: number;
    readonly isLifted: boolean;
    /** Upstreams that have ended under it. */
    readonly crashes: readonly string[];
    readonly sinceMs: number;
    readonly lastCrashMs: number;
    /** Requests that were let through to see whether it still holds, and when the next one may be. */
    readonly trials: number;
    readonly nextTrialMs: number;
};

export type QuarantineBook = {
    /** The quarantines in force that hold back any of some prompts. */
    readonly matching: (scope: string, prompts: readonly Prompt[]) => readonly QuarantineEntry[];
    readonly active: () => readonly QuarantineEntry[];
    readonly impose: (scope: string, culprit: Culprit, nowMs: number) => QuarantineEntry;
    /** Records one more crash under a quarantine. Returns whether it was not known. */
    readonly addCrash: (id: string, crash: string, atMs: number) => boolean;
    readonly beginTrial: (id: string, nowMs: number) => void;
    readonly lift: (id: string) => void;
    /** Adopts a peer's record. Returns whether it says anything new. */
    readonly merge: (record: QuarantineRecord, nowMs: number) => boolean;
    /** Drops what has not ended an upstream for long. Returns the quarantines dropped. */
    readonly expire: (nowMs: number) => readonly QuarantineEntry[];
    readonly records: (nowMs: number) => readonly QuarantineRecord[];
};

/**
 * The first trial comes soon, since the suspicion may be wrong. Each trial that ends an upstream makes the next one much
 * later, since two coincidences are far less likely than a segment that does end upstreams.
 */
const firstTrialMs = 3_000;
const trialFactor = 5;
const maxTrialMs = 120_000;
/** Above the longest interval between trials: while such requests come, a quarantine is renewed by its trials. */
const maxIdleMs = 300_000;
const maxEntries = 64;
/** Segments of all quarantines together: one of segments that always stand together may have those of a whole prompt. */
const maxSegments = 32_768;
const maxCrashes = 16;

export function quarantineId(scope: string, { segments, workspace }: Hold): string {
    const owner = workspace === undefined ? "" : `@${workspace}`;
    return `${scope}:${[...segments].sort().join("+")}${owner}`;
}

export function makeQuarantineBook(): QuarantineBook {
    const entries = new Map<string, QuarantineEntry>();
    const countSegments = (): number => [...entries.values()].reduce((sum, { segments }) => sum + segments.length, 0);
    const set = (entry: QuarantineEntry): void => {
        entries.delete(entry.id);
        entries.set(entry.id, entry);
        while (entries.size > maxEntries || (entries.size > 1 && countSegments() > maxSegments)) {
            entries.delete(entries.keys().next().value!);
        }
    };
    const update = (id: string, change: (entry: QuarantineEntry) => Partial<QuarantineEntry>): void => {
        const entry = entries.get(id);
        if (entry !== undefined) {
            entries.set(id, { ...entry, ...change(entry) });
        }
    };
    const active = (): readonly QuarantineEntry[] => [...entries.values()].filter(({ isLifted }) => !isLifted);
    return {
        matching: (scope, prompts) =>
            active().filter(entry => entry.scope === scope && prompts.some(prompt => holdsBack(entry, prompt))),
        active,
        impose: (scope, { segments, workspace, crashes }, nowMs) => {
            const id = quarantineId(scope, { segments, workspace });
            const round = (entries.get(id)?.round ?? 0) + 1;
            for (const other of active()) {
                if (other.scope === scope && other.id !== id && covers({ segments, workspace }, other)) {
                    update(other.id, () => ({ isLifted: true }));
                }
            }
            const trials = 0;
            const nextTrialMs = nowMs + trialIntervalMs(trials);
            const known = crashes.slice(-maxCrashes);
            const times = { sinceMs: nowMs, lastCrashMs: nowMs, nextTrialMs };
            const entry = { id, scope, segments, workspace, round, isLifted: false, crashes: known, trials, ...times };
            set(entry);
            return entry;
        },
        addCrash: (id, crash, atMs) => {
            if (entries.get(id)?.crashes.includes(crash) !== false) {
                return false;
            }
            update(id, ({ crashes, trials, lastCrashMs, nextTrialMs }) => ({
                crashes: [...crashes, crash].slice(-maxCrashes),
                lastCrashMs: Math.max(lastCrashMs, atMs),
                nextTrialMs: Math.max(nextTrialMs, atMs + trialIntervalMs(trials)),
            }));
            return true;
        },
        // A trial without an outcome is repeated soon; one that ends an upstream postpones the next one by `addCrash`.
        beginTrial: (id, nowMs) =>
            update(id, ({ trials }) => ({ trials: trials + 1, nextTrialMs: nowMs + firstTrialMs })),
        lift: id => update(id, () => ({ isLifted: true })),
        merge: (record, nowMs) => {
            const known = entries.get(quarantineId(record.scope, record));
            const received = entryOf(record, nowMs);
            if (known === undefined || received.round > known.round) {
                set(received);
                return true;
            }
            if (received.round < known.round || known.isLifted) {
                return false;
            }
            // Times are taken over only with a new fact: each exchange makes them a little later.
            const newCrashes = received.crashes.filter(crash => !known.crashes.includes(crash));
            if (!received.isLifted && received.trials <= known.trials && newCrashes.length === 0) {
                return false;
            }
            const isLater = received.trials >= known.trials;
            set({
                ...known,
                isLifted: received.isLifted,
                crashes: [...known.crashes, ...newCrashes].slice(-maxCrashes),
                trials: Math.max(known.trials, received.trials),
                nextTrialMs: isLater ? Math.max(known.nextTrialMs, received.nextTrialMs) : known.nextTrialMs,
                lastCrashMs: Math.max(known.lastCrashMs, received.lastCrashMs),
            });
            return true;
        },
        expire: nowMs => {
            const expired = [...entries.values()].filter(({ lastCrashMs }) => nowMs - lastCrashMs > maxIdleMs);
            expired.forEach(({ id }) => entries.delete(id));
            return expired.filter(({ isLifted }) => !isLifted);
        },
        records: nowMs =>
            [...entries.values()].map((
                { scope, segments, workspace, round, isLifted, crashes, sinceMs, lastCrashMs, trials, nextTrialMs },
            ) => ({
                scope,
                segments: [...segments],
                workspace,
                round,
                isLifted,
                crashes: [...crashes],
                ageMs: Math.max(0, Math.round(nowMs - sinceMs)),
                lastCrashAgeMs: Math.max(0, Math.round(nowMs - lastCrashMs)),
                trials,
                nextTrialInMs: Math.round(nextTrialMs - nowMs),
            })),
    };
}

function trialIntervalMs(trials: number): number {
    return Math.min(maxTrialMs, firstTrialMs * trialFactor ** trials);
}

function entryOf(record: QuarantineRecord, nowMs: number): QuarantineEntry {
    const { ageMs, lastCrashAgeMs, nextTrialInMs, ...same } = record;
    return {
        ...same,
        id: quarantineId(record.scope, record),
        sinceMs: nowMs - ageMs,
        lastCrashMs: nowMs - lastCrashAgeMs,
        nextTrialMs: nowMs + nextTrialInMs,
    };
}
