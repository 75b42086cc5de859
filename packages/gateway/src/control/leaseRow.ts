/** Decodes the row of the planning lease, also one that no process of the system wrote. */
import { fencesPerEra } from "@rattanquay/core";
import { type Checked, eraOf, PlanningLease, revisionOf } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { parseRow } from "../parseRow";
import { type StoredRow } from "../ports";
import { makeRowFaults } from "../rowFaults";

/** A row whose term ends later than this many terms from now was not written by a holder. */
const maxTermsLeft = 10;

/**
 * Returns a decoder that takes a row and the store's time. A row that cannot be used stands for a term that began when it
 * was first read here. Its fence is the highest that its revision allows, because each fence takes a transaction, and the first one
 * of an era leaves out a number of them.
 */
export function makeLeaseDecoder(
    context: GatewayContext,
    termMs: number,
): (row: StoredRow, storeNowMs: number) => PlanningLease {
    const faults = makeRowFaults(context);
    let unusable: { readonly revision: number; readonly sinceStoreMs: number } | undefined;
    return (row, storeNowMs) => {
        const lease = faults.take(row, checkLease(row, storeNowMs + maxTermsLeft * termMs));
        if (lease !== undefined) {
            return lease;
        }
        if (unusable?.revision !== row.revision) {
            unusable = { revision: row.revision, sinceStoreMs: storeNowMs };
        }
        return { holder: "", fence: highestFence(row), untilStoreMs: unusable.sinceStoreMs + termMs };
    };
}

function highestFence({ revision }: StoredRow): number {
    return revisionOf(revision) + eraOf(revision) * fencesPerEra;
}

function checkLease(row: StoredRow, latestEndStoreMs: number): Checked<PlanningLease> {
    const parsed = parseRow(PlanningLease, row);
    if (parsed.kind === "unusable") {
        return parsed;
    }
    const { fence, untilStoreMs } = parsed.value;
    if (fence > highestFence(row)) {
        return { kind: "unusable", reason: "fence: higher than the row's revision" };
    }
    return untilStoreMs > latestEndStoreMs
        ? { kind: "unusable", reason: "untilStoreMs: later than any holder's term ends" }
        : parsed;
}
