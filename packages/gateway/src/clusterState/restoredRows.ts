/**
 * Rows of a restored store that contradict what was known before.
 *
 * After the store has come back from a copy, such a row is most likely older than what is known, and its writer is about to
 * write the newer one again. So it takes effect only when there was time for that.
 */
import { type StorePosition, type UpstreamRecord } from "@rattanquay/schema";
import { isDeepStrictEqual } from "node:util";

/** A record with the position of the transaction that wrote it. */
export type Revisioned<T> = { readonly value: T; readonly revision: StorePosition };

type Records = ReadonlyMap<string, Revisioned<UpstreamRecord>>;

/** Returns the rows of a restored store that wait. */
export function rowsThatWait(
    listed: readonly Revisioned<UpstreamRecord>[],
    known: Records,
): readonly Revisioned<UpstreamRecord>[] {
    return listed.filter(({ value }) => {
        const before = known.get(value.id);
        return before !== undefined && mustWait(before.value, value);
    });
}

/**
 * Whether a row of a restored store waits. A row that ends or replaces the known incarnation takes effect at once: no copy can
 * hold that an incarnation drains if it does not.
 */
function mustWait(known: UpstreamRecord, restored: UpstreamRecord): boolean {
    if (restored.bornAtMs > known.bornAtMs || (restored.bornAtMs === known.bornAtMs && restored.isDraining)) {
        return false;
    }
    return !isDeepStrictEqual(known, restored);
}

/** Returns the rows as they take effect after all: an incarnation that drains does not become ready again. */
export function afterWaiting(waiting: Records, known: Records): readonly Revisioned<UpstreamRecord>[] {
    return [...waiting.values()].map(({ value, revision }) => {
        const before = known.get(value.id)?.value;
        const isDraining = value.isDraining || (before?.isDraining === true && before.bornAtMs === value.bornAtMs);
        return { value: { ...value, isDraining }, revision };
    });
}
