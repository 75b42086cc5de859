/**
 * Start-time fair queueing over workspaces (Goyal, Vin and Cheng): each workspace gets places in proportion to its
 * share while it has queued requests, and an idle workspace accumulates no credit.
 */

/** The properties of an item that the queue uses. */
export type Queueable = {
    readonly id: string;
    readonly workspace: string;
    /** Weight of the workspace when demand exceeds capacity. */
    readonly share: number;
    readonly priority: number;
};

export type FairQueue<T extends Queueable> = {
    readonly push: (item: T) => void;
    /** Records an item that started without being queued, so that it counts against its workspace's share. */
    readonly recordStarted: (item: T) => void;
    /** Tries the items in order and removes and returns the first for which `start` returns true. */
    readonly startFirst: (start: (item: T) => boolean) => T | undefined;
    readonly remove: (matches: (item: T) => boolean) => readonly T[];
    /** Estimated items that would start before `item`: those of its workspace, scaled by its part of the shares. */
    readonly aheadOf: (item: T) => number;
    readonly size: () => number;
};

type Waiting<T> = { readonly item: T; readonly startTag: number };

export function makeFairQueue<T extends Queueable>(): FairQueue<T> {
    let waiting: readonly Waiting<T>[] = [];
    const finishTags = new Map<string, number>();
    let virtualTime = 0;

    const tag = ({ workspace, share }: T): number => {
        const startTag = Math.max(virtualTime, finishTags.get(workspace) ?? 0);
        finishTags.set(workspace, startTag + 1 / share);
        return startTag;
    };
    const advance = (startTag: number): void => {
        virtualTime = Math.max(virtualTime, startTag);
        if (waiting.length === 0) {
            finishTags.clear();
        }
    };
    const without = (removed: Waiting<T>): void => {
        waiting = waiting.filter(other => other !== removed);
    };
    /** Removes an item that never started, without charging its workspace: the items behind it move up. */
    const refund = (removed: Waiting<T>): void => {
        const { workspace, share } = removed.item;
        without(removed);
        finishTags.set(workspace, (finishTags.get(workspace) ?? 0) - 1 / share);
        waiting = waiting
            .map(other =>
                other.item.workspace === workspace && other.startTag > removed.startTag
                    ? { ...other, startTag: other.startTag - 1 / share }
                    : other
            )
            .sort((a, b) => comesAfter(a, b) ? 1 : comesAfter(b, a) ? -1 : 0);
    };

    return {
        push: item => {
            const entry = { item, startTag: tag(item) };
            const position = waiting.findIndex(other => comesAfter(other, entry));
            waiting = position < 0
                ? [...waiting, entry]
                : [...waiting.slice(0, position), entry, ...waiting.slice(position)];
        },
        recordStarted: item => advance(tag(item)),
        startFirst: start => {
            const entry = waiting.find(({ item }) => start(item));
            if (entry !== undefined) {
                without(entry);
                advance(entry.startTag);
            }
            return entry?.item;
        },
        remove: matches => {
            const removed: T[] = [];
            for (let next = waiting.find(({ item }) => matches(item)); next !== undefined;) {
                removed.push(next.item);
                refund(next);
                next = waiting.find(({ item }) => matches(item));
            }
            return removed;
        },
        aheadOf: item => {
            const competing = waiting.filter(other => other.item.priority >= item.priority);
            const shares = new Map(competing.map(other => [other.item.workspace, other.item.share]));
            shares.set(item.workspace, item.share);
            const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
            const own = competing.filter(other => other.item.workspace === item.workspace).length;
            return own * total / item.share;
        },
        size: () => waiting.length,
    };
}

function comesAfter<T extends Queueable>(other: Waiting<T>, entry: Waiting<T>): boolean {
    if (other.item.priority !== entry.item.priority) {
        return other.item.priority < entry.item.priority;
    }
    return other.startTag > entry.startTag;
}
