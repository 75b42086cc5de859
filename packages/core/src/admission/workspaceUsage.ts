/** Which workspaces have lately had less than their share of what was started. */
import { type Queueable } from "./fairQueue";

export type WorkspaceUsage = {
    readonly noteStart: (item: Queueable, nowMs: number) => void;
    /** Whether the item's workspace has had less than its share, among those that have had any. */
    readonly isUnderShare: (item: Queueable, nowMs: number) => boolean;
};

type Usage = { readonly starts: number; readonly atMs: number; readonly share: number };

const memoryMs = 3_000;
/** A workspace with less than this many recent starts is forgotten. */
const leastStarts = 0.01;

export function makeWorkspaceUsage(): WorkspaceUsage {
    const usages = new Map<string, Usage>();
    const startsOf = ({ starts, atMs }: Usage, nowMs: number): number =>
        starts * Math.exp(-Math.max(0, nowMs - atMs) / memoryMs);

    return {
        noteStart: ({ workspace, share }, nowMs) => {
            const known = usages.get(workspace);
            usages.set(workspace, {
                starts: (known === undefined ? 0 : startsOf(known, nowMs)) + 1,
                atMs: nowMs,
                share,
            });
        },
        isUnderShare: ({ workspace, share }, nowMs) => {
            for (const [name, usage] of usages) {
                if (startsOf(usage, nowMs) < leastStarts) {
                    usages.delete(name);
                }
            }
            const others = [...usages].filter(([name]) => name !== workspace).map(([, usage]) => usage);
            const shares = others.reduce((sum, usage) => sum + usage.share, share);
            const known = usages.get(workspace);
            const own = known === undefined ? 0 : startsOf(known, nowMs);
            const all = others.reduce((sum, usage) => sum + startsOf(usage, nowMs), own);
            return others.length > 0 && own * shares < all * share;
        },
    };
}
