/**
 * Ejects replicas that are much slower than the others or fail repeatedly, and readmits them after a successful trial.
 *
 * An ejected replica gets no requests until its ejection time is over, then one at a time until one succeeds at a
 * normal speed. At most half of the replicas are ejected at once: when most are slow, the cause is overload.
 */

export type OutlierDetector = {
    /** Records the mean time between tokens of a finished attempt. */
    readonly observe: (replica: string, betweenTokensMs: number, nowMs: number) => void;
    /** Records a failed attempt. */
    readonly observeFailure: (replica: string, nowMs: number) => void;
    /** Whether a replica may get requests as usual, one at a time on probation, or none. */
    readonly standing: (replica: string, nowMs: number) => "available" | "probation" | "ejected";
    /** Starts tracking new replicas and drops the statistics of removed ones. */
    readonly setReplicas: (replicas: readonly string[]) => void;
};

type ReplicaStats = {
    betweenTokensMs: number;
    samples: number;
    failures: number;
    /** The end of the ejection, after which the replica is on probation; `undefined` while it is available. */
    ejectedUntilMs: number | undefined;
    /** The length of the next ejection; it doubles with each one up to a limit, and readmission resets it. */
    ejectionMs: number;
};

/** A replica is slow when its time between tokens exceeds the median of the others by this factor. */
const slownessThreshold = 3;
const minSamples = 3;
const failureThreshold = 3;
/** The weight of a new sample in the moving average. */
const gain = 0.3;
const initialEjectionMs = 10_000;
const maxEjectionMs = 120_000;
const maxEjectedShare = 0.5;

export function makeOutlierDetector(): OutlierDetector {
    const statsByReplica = new Map<string, ReplicaStats>();
    const statsOf = (replica: string): ReplicaStats => {
        const known = statsByReplica.get(replica)
            ?? {
                betweenTokensMs: 0,
                samples: 0,
                failures: 0,
                ejectedUntilMs: undefined,
                ejectionMs: initialEjectionMs,
            };
        statsByReplica.set(replica, known);
        return known;
    };

    /** The median time between tokens of the other available replicas. */
    const medianBetweenTokensMs = (replica: string): number | undefined => {
        const intervals = [...statsByReplica]
            .filter(([name, stats]) =>
                name !== replica && stats.ejectedUntilMs === undefined && stats.samples >= minSamples
            )
            .map(([, stats]) => stats.betweenTokensMs)
            .sort((a, b) => a - b);
        return intervals[Math.floor((intervals.length - 1) / 2)];
    };

    const eject = (stats: ReplicaStats, nowMs: number): void => {
        const ejectedCount =
            [...statsByReplica.values()].filter(other => other !== stats && other.ejectedUntilMs !== undefined).length;
        if (ejectedCount + 1 > statsByReplica.size * maxEjectedShare) {
            return;
        }
        stats.ejectedUntilMs = nowMs + stats.ejectionMs;
        stats.ejectionMs = Math.min(maxEjectionMs, stats.ejectionMs * 2);
        stats.samples = 0;
        stats.failures = 0;
    };

    const readmit = (stats: ReplicaStats): void => {
        stats.ejectedUntilMs = undefined;
        stats.ejectionMs = initialEjectionMs;
        stats.samples = 0;
    };

    return {
        observe: (replica, betweenTokensMs, nowMs) => {
            const stats = statsOf(replica);
            const medianMs = medianBetweenTokensMs(replica);
            stats.failures = 0;
            if (stats.ejectedUntilMs !== undefined) {
                const isHealthy = medianMs === undefined || betweenTokensMs < medianMs * slownessThreshold;
                if (nowMs >= stats.ejectedUntilMs) {
                    (isHealthy ? readmit : eject)(stats, nowMs);
                }
                return;
            }
            stats.betweenTokensMs = stats.samples === 0
                ? betweenTokensMs
                : stats.betweenTokensMs + gain * (betweenTokensMs - stats.betweenTokensMs);
            stats.samples++;
            if (
                medianMs !== undefined && stats.samples >= minSamples
                && stats.betweenTokensMs > medianMs * slownessThreshold
            ) {
                eject(stats, nowMs);
            }
        },
        observeFailure: (replica, nowMs) => {
            const stats = statsOf(replica);
            stats.failures++;
            const onProbation = stats.ejectedUntilMs !== undefined && nowMs >= stats.ejectedUntilMs;
            if (onProbation || (stats.ejectedUntilMs === undefined && stats.failures >= failureThreshold)) {
                eject(stats, nowMs);
            }
        },
        standing: (replica, nowMs) => {
            const ejectedUntilMs = statsByReplica.get(replica)?.ejectedUntilMs;
            if (ejectedUntilMs === undefined) {
                return "available";
            }
            return nowMs < ejectedUntilMs ? "ejected" : "probation";
        },
        setReplicas: replicas => {
            const kept = new Set(replicas);
            [...statsByReplica.keys()].filter(name => !kept.has(name)).forEach(name => statsByReplica.delete(name));
            replicas.forEach(statsOf);
        },
    };
}
