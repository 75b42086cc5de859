/** Statistics over the call records of a run. */
import { build } from "hdr-histogram-js";
import { type CallRecord } from "../load";

/** A percentile of times in milliseconds with a resolution of 0.1 ms; 0 when there are none. */
export function percentile(timesMs: readonly number[], percent: number): number {
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 10_000_000,
        numberOfSignificantValueDigits: 3,
    });
    timesMs.forEach(timeMs => histogram.recordValue(Math.max(0, Math.round(timeMs * 10))));
    return timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percent) / 10;
}

export function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Rounds to three decimals for the output. */
export function rounded(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

export type Targets = { readonly firstTokenMs: number; readonly betweenTokensMs: number };

export const defaultTargets: Targets = { firstTokenMs: 930, betweenTokensMs: 52 };

/** Whether a caller got its complete answer within the latency targets. */
export function meetsTargets({ result }: CallRecord, { firstTokenMs, betweenTokensMs }: Targets): boolean {
    return result.whole
        && (result.firstTokenMs ?? Infinity) <= firstTokenMs
        && (result.betweenTokensMs ?? 0) <= betweenTokensMs;
}

/** The calls that were scheduled within a span of the run. */
export function arrivedBetween(records: readonly CallRecord[], fromMs: number, toMs: number): readonly CallRecord[] {
    return records.filter(({ call }) => call.atMs >= fromMs && call.atMs < toMs);
}

export const isRefused = ({ result }: CallRecord): boolean => result.status === 429 || result.status === 503;
