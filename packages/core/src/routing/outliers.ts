/**
 * Takes replicas out that are much slower than the others or keep failing, and lets them back gently.
 *
 * An ejected replica gets nothing for a while, then one request at a time until one of them fares well. At most half
 * of the replicas are out at once: when most are slow, that is the load and not an outlier.
 */

export type Outliers = {
    /** Takes in an ended attempt's time between tokens. */
    readonly observe: (replica: string, paceMs: number, nowMs: number) => void;
    readonly observeFailure: (replica: string, nowMs: number) => void;
    /** How much work a replica may have: all, one request to test it, or none. */
    readonly standing: (replica: string, nowMs: number) => "in" | "onTrial" | "out";
    /** Forgets replicas that are gone. */
    readonly keep: (replicas: readonly string[]) => void;
};

type Account = {
    paceMs: number;
    samples: number;
    failures: number;
    /** Out until then, and on trial after it; `undefined` while in. */
    outUntilMs: number | undefined;
    outForMs: number;
};

const slowFactor = 3;
const leastSamples = 3;
const failuresInARow = 3;
const gain = 0.3;
const firstOutMs = 10_000;
const longestOutMs = 120_000;
const greatestOutShare = 0.5;

export function makeOutliers(): Outliers {
    const accounts = new Map<string, Account>();
    const accountOf = (replica: string): Account => {
        const known = accounts.get(replica)
            ?? { paceMs: 0, samples: 0, failures: 0, outUntilMs: undefined, outForMs: firstOutMs };
        accounts.set(replica, known);
        return known;
    };

    /** The median pace of the other replicas that are in. */
    const usualPaceMs = (replica: string): number | undefined => {
        const paces = [...accounts]
            .filter(([name, account]) =>
                name !== replica && account.outUntilMs === undefined && account.samples >= leastSamples
            )
            .map(([, account]) => account.paceMs)
            .sort((a, b) => a - b);
        return paces[Math.floor((paces.length - 1) / 2)];
    };

    const eject = (account: Account, nowMs: number): void => {
        const out = [...accounts.values()].filter(other => other !== account && other.outUntilMs !== undefined).length;
        if (out + 1 > accounts.size * greatestOutShare) {
            return;
        }
        account.outUntilMs = nowMs + account.outForMs;
        account.outForMs = Math.min(longestOutMs, account.outForMs * 2);
        account.samples = 0;
        account.failures = 0;
    };

    const readmit = (account: Account): void => {
        account.outUntilMs = undefined;
        account.outForMs = firstOutMs;
        account.samples = 0;
    };

    return {
        observe: (replica, paceMs, nowMs) => {
            const account = accountOf(replica);
            const usual = usualPaceMs(replica);
            account.failures = 0;
            if (account.outUntilMs !== undefined) {
                const good = usual === undefined || paceMs < usual * slowFactor;
                if (nowMs >= account.outUntilMs) {
                    (good ? readmit : eject)(account, nowMs);
                }
                return;
            }
            account.paceMs = account.samples === 0 ? paceMs : account.paceMs + gain * (paceMs - account.paceMs);
            account.samples++;
            if (usual !== undefined && account.samples >= leastSamples && account.paceMs > usual * slowFactor) {
                eject(account, nowMs);
            }
        },
        observeFailure: (replica, nowMs) => {
            const account = accountOf(replica);
            account.failures++;
            const onTrial = account.outUntilMs !== undefined && nowMs >= account.outUntilMs;
            if (onTrial || (account.outUntilMs === undefined && account.failures >= failuresInARow)) {
                eject(account, nowMs);
            }
        },
        standing: (replica, nowMs) => {
            const outUntilMs = accounts.get(replica)?.outUntilMs;
            if (outUntilMs === undefined) {
                return "in";
            }
            return nowMs < outUntilMs ? "out" : "onTrial";
        },
        keep: replicas => {
            const kept = new Set(replicas);
            [...accounts.keys()].filter(name => !kept.has(name)).forEach(name => accounts.delete(name));
            replicas.forEach(accountOf);
        },
    };
}
