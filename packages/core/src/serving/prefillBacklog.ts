/**
 * Long prompts at one upstream that wait to be prefilled, as the time for which they hold up the requests behind them.
 *
 * An instance knows its own prompts: each counts from when it was sent until its first event arrives. The sum of the
 * other instances' prompts comes from their reports. An engine prefills in the order of arrival, so that the backlog
 * shrinks with time; an instance does not know in which order its prompts and the others' arrived, and divides the
 * progress between both in proportion. All times are in milliseconds.
 */

export type PrefillBacklog = {
    /** Adds a prompt of this instance. The returned function removes it, and has no effect when called again. */
    readonly add: (prefillMs: number, nowMs: number) => () => void;
    /** Replaces the sum of the other instances' prompts. */
    readonly notePeers: (prefillMs: number, nowMs: number) => void;
    /** What is left of this instance's prompts. */
    readonly ownMs: (nowMs: number) => number;
    /** What is left of all known prompts. */
    readonly totalMs: (nowMs: number) => number;
};

type Pending = { leftMs: number };

export function makePrefillBacklog(): PrefillBacklog {
    const own = new Set<Pending>();
    let peersMs = 0;
    let atMs = -Infinity;
    const ownLeftMs = (): number => {
        let sumMs = 0;
        own.forEach(({ leftMs }) => sumMs += leftMs);
        return sumMs;
    };
    /** Subtracts the time since the last call, from this instance's prompts in the order in which they were sent. */
    const advance = (nowMs: number): void => {
        const elapsedMs = nowMs - atMs;
        atMs = nowMs;
        const ownMs = own.size === 0 ? 0 : ownLeftMs();
        const totalMs = ownMs + peersMs;
        if (totalMs === 0) {
            return;
        }
        const doneShare = Math.min(1, elapsedMs / totalMs);
        peersMs -= peersMs * doneShare;
        let ownDoneMs = ownMs * doneShare;
        for (const pending of own) {
            const doneMs = Math.min(pending.leftMs, ownDoneMs);
            pending.leftMs -= doneMs;
            ownDoneMs -= doneMs;
        }
    };
    return {
        add: (prefillMs, nowMs) => {
            advance(nowMs);
            const pending = { leftMs: prefillMs };
            own.add(pending);
            return () => void own.delete(pending);
        },
        notePeers: (prefillMs, nowMs) => {
            advance(nowMs);
            peersMs = prefillMs;
        },
        ownMs: nowMs => {
            advance(nowMs);
            return own.size === 0 ? 0 : ownLeftMs();
        },
        totalMs: nowMs => {
            if (own.size === 0 && peersMs === 0) {
                return 0;
            }
            advance(nowMs);
            return ownLeftMs() + peersMs;
        },
    };
}
