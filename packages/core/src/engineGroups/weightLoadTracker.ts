/**
 * Tracks the running loads of weights and how many more may start.
 *
 * The weight store serves a few loads at once before they slow each other down, and its rate is limited. The holder of
 * the planning lease stores the loads, so that the next holder neither requests them again nor exceeds the limits.
 */
import { type UpstreamRecord, type WeightLoad } from "@rattanquay/schema";
import { incarnationOf } from "./fleetView";

export type WeightLoadTracker = {
    /** Loads that start before the first request are not rate limited. */
    readonly begin: (load: WeightLoad, isRateLimited: boolean) => void;
    /** Removes a load that the instance rejected. */
    readonly drop: (record: UpstreamRecord) => void;
    /**
     * Marks loads as ended that are complete or overdue or whose instance is gone. Ended loads are removed, except that
     * those that count towards the rate limit are kept for the rate window.
     */
    readonly removeEnded: (upstreams: ReadonlyMap<string, UpstreamRecord>, nowMs: number) => void;
    /** The model whose weights an incarnation is loading. */
    readonly loadingModelOf: (record: UpstreamRecord) => string | undefined;
    /** The number of loads that may start now. */
    readonly allowance: (bounds: LoadBounds, nowMs: number) => number;
    /** The loads that count towards the limits. */
    readonly rateLimited: () => readonly WeightLoad[];
    /** Replaces the tracked loads with those that the previous holder stored. */
    readonly restore: (loads: readonly WeightLoad[]) => void;
};

/** The weight store's limits: load starts per second, and concurrent loads before they slow each other down. */
export type LoadBounds = { readonly perSecond: number; readonly atOnce: number };

/** Share of the rate limit that is used: a load may start later than it was ordered and coincide with others. */
const usedRateShare = 0.7;
/** Weights that have not arrived after this many times their load time are requested again. */
const loadTimeoutFactor = 3;
const msPerSecond = 1_000;

type Entry = { readonly load: WeightLoad; readonly isRateLimited: boolean; hasEnded: boolean };

/** `windowMs` is the window over which the rate limit applies. */
export function makeWeightLoadTracker(windowMs: number): WeightLoadTracker {
    let entries = new Map<string, Entry>();
    const isEnded = ({ load }: Entry, upstreams: ReadonlyMap<string, UpstreamRecord>, nowMs: number): boolean => {
        const record = upstreams.get(load.id);
        return record?.bornAtMs !== load.bornAtMs || record.stagedModels.includes(load.model)
            || nowMs - load.beganAtMs > load.loadMs * loadTimeoutFactor;
    };
    return {
        begin: (load, isRateLimited) => entries.set(incarnationOf(load), { load, isRateLimited, hasEnded: false }),
        drop: record => entries.delete(incarnationOf(record)),
        removeEnded: (upstreams, nowMs) => {
            entries.forEach(entry => entry.hasEnded ||= isEnded(entry, upstreams, nowMs));
            const isNeeded = ({ load, isRateLimited, hasEnded }: Entry): boolean =>
                !hasEnded || (isRateLimited && nowMs - load.beganAtMs < windowMs);
            entries = new Map([...entries].filter(([, entry]) => isNeeded(entry)));
        },
        loadingModelOf: record => {
            const entry = entries.get(incarnationOf(record));
            return entry?.hasEnded === false ? entry.load.model : undefined;
        },
        allowance: ({ perSecond, atOnce }, nowMs) => {
            const rateLimited = [...entries.values()].filter(({ isRateLimited }) => isRateLimited);
            const begun = rateLimited.filter(({ load }) => nowMs - load.beganAtMs < windowMs).length;
            const running = rateLimited.filter(({ hasEnded }) => !hasEnded).length;
            const byRate = Math.floor(perSecond * windowMs / msPerSecond * usedRateShare) - begun;
            return Math.max(0, Math.min(byRate, atOnce - running));
        },
        rateLimited: () => [...entries.values()].flatMap(({ load, isRateLimited }) => isRateLimited ? [load] : []),
        restore: loads => {
            entries = new Map(loads.map(load => [incarnationOf(load), { load, isRateLimited: true, hasEnded: false }]));
        },
    };
}
