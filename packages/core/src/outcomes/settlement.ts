/** Recording the outcome of a claimed call. */
import { type ClaimRow, type Condition, type KeyedRow, type Row } from "@rattanquay/schema";

export type Settlement =
    | {
        readonly state: "answered";
        readonly status: number;
        readonly headers?: Readonly<Record<string, string>>;
        /** In base64; absent when it was too large to keep. */
        readonly body?: string;
    }
    /** Nothing was sent, or the upstream proved that it did not run: the call may be claimed again. */
    | { readonly state: "notRun" };

/** A claim, identified by its claimant's token and the version of its row. */
export type HeldClaim = { readonly token: string; readonly version: number };

/**
 * Returns the write that records the outcome in a row that was just read, or `undefined` if the claimant does not own the
 * row.
 *
 * The version alone does not identify a claim: if this claimant's write never took effect, the row may hold another
 * claimant's claim in the same version, and that claim must not be released.
 */
export function planSettlement(
    row: KeyedRow | undefined,
    held: HeldClaim,
    settlement: Settlement,
    token: string,
): { readonly row: Row; readonly condition: Condition } | undefined {
    if (row === undefined || row.token !== held.token || row.version !== held.version) {
        return undefined;
    }
    const body: ClaimRow = { ...row.body as ClaimRow, ...settlement };
    return {
        row: { version: held.version + 1, token, body },
        condition: { kind: "versionIs", version: held.version },
    };
}
