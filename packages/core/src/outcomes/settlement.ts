/** Recording how a claimed call ended. */
import { type ClaimRow, type Condition, type Row, type Stored } from "@rattanquay/schema";

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

/** A claim by its claimant's token and the version in which it stands. */
export type HeldClaim = { readonly token: string; readonly version: number };

/**
 * The write that records the outcome, for the row as it was just read; nothing when the row is not the claimant's own.
 *
 * The version alone does not name a claim: where this claimant's write never took effect, another's may stand in the same
 * version, and must not be freed.
 */
export function planSettlement(
    row: Stored | undefined,
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
