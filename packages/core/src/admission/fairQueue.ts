/**
 * Start-time fair queueing over workspaces (Goyal, Vin and Cheng): each workspace gets places in proportion to its
 * share for as long as it has work waiting, and a workspace without work saves up nothing.
 */

/** What the queue needs to know of an item. */
export type Queueable = {
    readonly id: string;
    readonly workspace: string;
    /** Weight of the workspace when there is not enough for all. */
    readonly share: number;
    readonly priority: number;
};

export type FairQueue<T extends Queueable> = {
    readonly push: (item: T) => void;
    /** Notes work that started without waiting, so that it counts against its workspace's share. */
    readonly pass: (item: T) => void;
    /** Takes out the first item for which `start` returns true, trying each in order. */
    readonly startFirst: (start: (item: T) => boolean) => T | undefined;
    readonly remove: (matches: (item: T) => boolean) => readonly T[];
    /** Items that would go before a newcomer, counted in units of the newcomer's own service by its share. */
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
    const without = (gone: Waiting<T>): void => {
        waiting = waiting.filter(other => other !== gone);
    };
    /** What never started is not charged to its workspace: the items behind it move up. */
    const giveBack = (gone: Waiting<T>): void => {
        const { workspace, share } = gone.item;
        without(gone);
        finishTags.set(workspace, (finishTags.get(workspace) ?? 0) - 1 / share);
        waiting = waiting
            .map(other =>
                other.item.workspace === workspace && other.startTag > gone.startTag
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
        pass: item => advance(tag(item)),
        startFirst: start => {
            const entry = waiting.find(({ item }) => start(item));
            if (entry !== undefined) {
                without(entry);
                advance(entry.startTag);
            }
            return entry?.item;
        },
        remove: matches => {
            const gone: T[] = [];
            for (let next = waiting.find(({ item }) => matches(item)); next !== undefined;) {
                gone.push(next.item);
                giveBack(next);
                next = waiting.find(({ item }) => matches(item));
            }
            return gone;
        },
        aheadOf: item => {
            const peers = waiting.filter(other => other.item.priority >= item.priority);
            const shares = new Map(peers.map(other => [other.item.workspace, other.item.share]));
            shares.set(item.workspace, item.share);
            const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
            const own = peers.filter(other => other.item.workspace === item.workspace).length;
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
