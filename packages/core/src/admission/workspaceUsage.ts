/** Tracks which workspaces recently got less than their share of the started requests. */
import { type Queueable } from "./fairQueue";

export type WorkspaceUsage = {
    readonly recordStart: (item: Queueable, nowMs: number) => void;
    /** Whether the item's workspace got less than its share, compared with the other recently active workspaces. */
    readonly isUnderShare: (item: Queueable, nowMs: number) => boolean;
};

type Usage = { readonly starts: number; readonly atMs: number; readonly share: number };

/** Time constant of the exponential decay of recorded starts. */
const decayMs = 3_000;
/** A workspace whose decayed number of starts falls below this is dropped. */
const minStarts = 0.01;

export function makeWorkspaceUsage(): WorkspaceUsage {
    const usages = new Map<string, Usage>();
    const startsOf = ({ starts, atMs }: Usage, nowMs: number): number =>
        starts * Math.exp(-Math.max(0, nowMs - atMs) / decayMs);

    return {
        recordStart: ({ workspace, share }, nowMs) => {
            const known = usages.get(workspace);
            usages.set(workspace, {
                starts: (known === undefined ? 0 : startsOf(known, nowMs)) + 1,
                atMs: nowMs,
                share,
            });
        },
        isUnderShare: ({ workspace, share }, nowMs) => {
            for (const [name, usage] of usages) {
                if (startsOf(usage, nowMs) < minStarts) {
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
