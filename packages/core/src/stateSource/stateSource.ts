/**
 * Chooses from where an entry instance learns the cluster state: from the platform's store, or from relays of its zone.
 *
 * Designed for fleets in which every instance follows every change of the list of upstreams: calls to the store would
 * grow with instances times changes. Instead, a few relays in each zone follow the store, and every other instance
 * subscribes to two of them. One relay that is frozen or cut off from the store therefore delays nobody. An instance
 * that no relay confirms reads the store itself.
 */

/** An entry instance of the same zone. */
export type RelayCandidate = { readonly instance: string; readonly cores: number };

export type RelayNotice = {
    readonly instance: string;
    /** Whether the store answered the relay's last calls. */
    readonly isCurrent: boolean;
    readonly isLeaving: boolean;
};

export type StateSource = {
    /** Sets the instances of the zone, including this one. */
    readonly setCandidates: (candidates: readonly RelayCandidate[]) => void;
    /** Whether this instance is a relay by its rank in the zone. */
    readonly isRelay: () => boolean;
    /** Whether this instance has the first rank in the zone. */
    readonly isFirst: () => boolean;
    /** Returns the relays to subscribe to, the preferred one first. A relay itself subscribes to none. */
    readonly chooseRelays: (nowMs: number) => readonly string[];
    readonly noteNotice: (notice: RelayNotice, nowMs: number) => void;
    /** Records that a relay is sending something else than a notice: it is not silent. */
    readonly noteBytes: (instance: string, nowMs: number) => void;
    readonly noteSubscriber: (nowMs: number) => void;
    /** Whether this instance must read the store, as a relay or because no relay confirms its state. */
    readonly mustReadStore: (nowMs: number) => boolean;
};

/** Each instance that is not a relay subscribes to this many, so that one may fail unnoticed. */
export const relaysPerZone = 2;
/** A relay without a notice for this long is replaced; relays send at least two notices in this time. */
const noticeTimeoutMs = 1_000;
/** A replaced relay is not chosen again before this time has passed. */
const exclusionMs = 5_000;
/** An instance that reads the store itself goes on until relays have confirmed its state for this long. */
const confirmationMs = 2_000;
/** A relay reads the store for this long after the last subscription: subscribers renew it several times meanwhile. */
const subscriberTimeoutMs = 3_500;

type RelayState = { heardAtMs: number; currentAtMs: number };

export function makeStateSource(self: string): StateSource {
    let ranking: readonly string[] = [self];
    let chosen: readonly string[] = [];
    let subscribedToAtMs = -Infinity;
    let confirmedSinceMs: number | undefined;
    const states = new Map<string, RelayState>();
    const excludedUntilMs = new Map<string, number>();

    const isRelayByRank = (): boolean => ranking.indexOf(self) < relaysPerZone;
    const excludeSilent = (nowMs: number): void => {
        for (const instance of chosen) {
            if (nowMs - (states.get(instance)?.heardAtMs ?? nowMs) > noticeTimeoutMs) {
                excludedUntilMs.set(instance, nowMs + exclusionMs);
            }
        }
    };
    const isConfirmed = (nowMs: number): boolean =>
        chosen.length === relaysPerZone
        && chosen.some(instance => nowMs - states.get(instance)!.currentAtMs <= noticeTimeoutMs);
    return {
        setCandidates: candidates => {
            ranking = rank(candidates);
        },
        isRelay: isRelayByRank,
        isFirst: () => ranking[0] === self,
        chooseRelays: nowMs => {
            excludeSilent(nowMs);
            const usable = ranking.filter(instance =>
                instance !== self && nowMs >= (excludedUntilMs.get(instance) ?? -Infinity)
            );
            const first = usable.slice(0, relaysPerZone);
            // Half of the instances prefer the second relay: a large configuration takes all of a relay's bandwidth.
            const preferred = ranking.indexOf(self) % relaysPerZone === 0 ? first : first.reverse();
            const next = isRelayByRank() ? [] : preferred;
            next.filter(instance => !chosen.includes(instance)).forEach(instance =>
                states.set(instance, { heardAtMs: nowMs, currentAtMs: -Infinity })
            );
            chosen = next;
            return chosen;
        },
        noteNotice: ({ instance, isCurrent, isLeaving }, nowMs) => {
            const state = states.get(instance);
            if (isLeaving) {
                excludedUntilMs.set(instance, nowMs + exclusionMs);
            }
            if (state !== undefined) {
                state.heardAtMs = nowMs;
                state.currentAtMs = isCurrent && !isLeaving ? nowMs : -Infinity;
            }
        },
        noteBytes: (instance, nowMs) => {
            const state = states.get(instance);
            if (state !== undefined) {
                state.heardAtMs = nowMs;
            }
        },
        noteSubscriber: nowMs => {
            subscribedToAtMs = nowMs;
        },
        mustReadStore: nowMs => {
            if (isRelayByRank() || nowMs - subscribedToAtMs < subscriberTimeoutMs) {
                return true;
            }
            confirmedSinceMs = isConfirmed(nowMs) ? confirmedSinceMs ?? nowMs : undefined;
            return confirmedSinceMs === undefined || nowMs - confirmedSinceMs < confirmationMs;
        },
    };
}

/** The same order in all instances of the zone: relays serve many others, so those with the most processor come first. */
function rank(candidates: readonly RelayCandidate[]): readonly string[] {
    return [...candidates]
        .sort((a, b) => b.cores - a.cores || (a.instance < b.instance ? -1 : 1))
        .map(({ instance }) => instance);
}
