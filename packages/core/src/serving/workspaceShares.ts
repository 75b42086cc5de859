/**
 * The share of each workspace in what a scope (the upstreams of one model) can serve while it cannot serve all.
 *
 * Each instance sees a few of a workspace's requests, and gets the counts of the others from their reports. The share is
 * the level up to which every workspace gets all that it asks for, so that together they get what is served now. Only
 * scopes in which requests are refused have shares and are reported.
 */
export type WorkspaceCounts = {
    readonly scope: string;
    readonly workspace: string;
    /** Recent requests, and how many of them started. */
    readonly asked: number;
    readonly started: number;
};

export type WorkspaceShares = {
    /** `started` is 1 for a request that started, 0 for one that did not, or between for a part of its utility. */
    readonly note: (scope: string, workspace: string, started: number, nowMs: number) => void;
    /** The counts of all instances in a scope, by workspace. */
    readonly sums: (scope: string, nowMs: number) => ReadonlyMap<string, UsageSum>;
    /** This instance's counts, for the others: at most `maxReported`, the largest first. */
    readonly own: (nowMs: number) => readonly WorkspaceCounts[];
    /** Replaces the sums of the other instances. */
    readonly notePeers: (usage: readonly WorkspaceCounts[], nowMs: number) => void;
    /** The part of a workspace's requests that exceeds its share, 0 to 1; 0 while the scope is not short. */
    readonly excess: (scope: string, workspace: string, nowMs: number) => number;
};

export type UsageSum = { readonly asked: number; readonly started: number };

type Tally = { asked: number; started: number; atMs: number };
type Level = { readonly share: number; readonly servedShare: number; readonly atMs: number };

/** Requests count by half after this time, so that shares follow a burst of a few seconds. */
const halfLifeMs = 3_000;
/** A scope is short if less than this part of its recent requests started. */
const shortBelow = 0.95;
/** Fewer recent requests in a scope tell nothing. */
const minRequests = 8;
/** A workspace keeps at least this part of what all get: more than the guaranteed quarter, as the counts lag. */
const keptShare = 0.4;
const maxReported = 48;
const maxTallies = 1_000;
const levelMaxAgeMs = 100;
/** Peers' sums count for as long as their messages may be delayed. */
const peersMaxAgeMs = 2_000;
/** A count below this no longer tells anything. */
const minCount = 0.05;

export function makeWorkspaceShares(): WorkspaceShares {
    const tallies = new Map<string, Map<string, Tally>>();
    let peers: { readonly usage: readonly WorkspaceCounts[]; readonly atMs: number } = { usage: [], atMs: -Infinity };
    const levels = new Map<string, Level>();
    let count = 0;

    const ownOf = (scope: string, nowMs: number): readonly WorkspaceCounts[] =>
        [...tallies.get(scope) ?? []].map(([workspace, tally]) => {
            const { asked, started } = decay(tally, nowMs);
            return { scope, workspace, asked, started };
        });
    const peersOf = (scope: string, nowMs: number): readonly WorkspaceCounts[] =>
        nowMs - peers.atMs < peersMaxAgeMs ? peers.usage.filter(usage => usage.scope === scope) : [];
    const sumsOf = (scope: string, nowMs: number): ReadonlyMap<string, UsageSum> => {
        const sums = new Map<string, UsageSum>();
        for (const { workspace, asked, started } of [...ownOf(scope, nowMs), ...peersOf(scope, nowMs)]) {
            const before = sums.get(workspace) ?? { asked: 0, started: 0 };
            sums.set(workspace, { asked: before.asked + asked, started: before.started + started });
        }
        return sums;
    };
    const levelOf = (scope: string, nowMs: number): Level => {
        const known = levels.get(scope);
        if (known !== undefined && nowMs - known.atMs < levelMaxAgeMs) {
            return known;
        }
        const sums = [...sumsOf(scope, nowMs).values()];
        const asked = sums.map(sum => sum.asked);
        const total = sumOf(asked);
        const started = sumOf(sums.map(sum => sum.started));
        const isShort = total >= minRequests && started < shortBelow * total;
        const level = {
            share: isShort ? shareOf(asked, started) : Infinity,
            servedShare: total > 0 ? started / total : 1,
            atMs: nowMs,
        };
        levels.set(scope, level);
        return level;
    };
    const removeOld = (nowMs: number): void => {
        count = 0;
        for (const [scope, ofScope] of tallies) {
            ofScope.forEach((tally, workspace) => decay(tally, nowMs).asked < minCount && ofScope.delete(workspace));
            count += ofScope.size;
            if (ofScope.size === 0) {
                tallies.delete(scope);
                levels.delete(scope);
            }
        }
    };
    return {
        note: (scope, workspace, started, nowMs) => {
            const ofScope = tallies.get(scope) ?? new Map<string, Tally>();
            const known = ofScope.get(workspace);
            if (known === undefined) {
                count++;
                if (count > maxTallies) {
                    removeOld(nowMs);
                }
                if (count > maxTallies) {
                    return;
                }
            }
            const tally = decay(known ?? { asked: 0, started: 0, atMs: nowMs }, nowMs);
            tally.asked += 1;
            tally.started += started;
            ofScope.set(workspace, tally);
            tallies.set(scope, ofScope);
        },
        sums: sumsOf,
        own: nowMs =>
            [...tallies.keys()].flatMap(scope => {
                const usage = ownOf(scope, nowMs).filter(({ asked }) => asked >= minCount);
                // Not merely because peers report it: the processes would keep one another reporting without end.
                const isShort = usage.some(({ asked, started }) => asked - started >= minCount)
                    || levelOf(scope, nowMs).share < Infinity;
                return isShort ? usage : [];
            }).sort((a, b) => b.asked - a.asked).slice(0, maxReported),
        notePeers: (usage, nowMs) => {
            peers = { usage, atMs: nowMs };
        },
        excess: (scope, workspace, nowMs) => {
            const { share, servedShare } = levelOf(scope, nowMs);
            if (share === Infinity) {
                return 0;
            }
            const asked = sumsOf(scope, nowMs).get(workspace)?.asked ?? 0;
            return asked <= share ? 0 : 1 - Math.max(share / asked, keptShare * servedShare);
        },
    };
}

function decay(tally: Tally, nowMs: number): Tally {
    const left = 0.5 ** (Math.max(0, nowMs - tally.atMs) / halfLifeMs);
    tally.asked *= left;
    tally.started *= left;
    tally.atMs = nowMs;
    return tally;
}

function sumOf(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}

/** The level at which the parts of all amounts up to it add up to `total`. */
function shareOf(amounts: readonly number[], total: number): number {
    const ascending = [...amounts].sort((a, b) => a - b);
    let left = total;
    for (const [index, amount] of ascending.entries()) {
        const equalShare = left / (ascending.length - index);
        if (amount >= equalShare) {
            return equalShare;
        }
        left -= amount;
    }
    return Infinity;
}
