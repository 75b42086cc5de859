/**
 * Claims on calls that may run at most once, kept in the platform's table under the caller's `Idempotency-Key`.
 *
 * The claim stands before the first byte goes out, and nobody takes a claim over: a frozen owner that wakes up may still
 * send, and it alone. An outcome that was not recorded stays in doubt for good.
 */
import { type Key, type Table } from "@rattanquay/platform";
import { ClaimRow } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { claimKey } from "../rowKeys";
import { type Surroundings } from "../surroundings";

export type ClaimRequest = {
    readonly service: string;
    readonly workspace: string;
    readonly key: string;
    /** Over the request's method, path and body: a key belongs to one request. */
    readonly digest: string;
    readonly requestId: string;
};

export type Claim =
    | { readonly kind: "granted"; readonly settle: (outcome: Settlement) => Promise<void> }
    | { readonly kind: "answered"; readonly row: ClaimRow }
    | { readonly kind: "inDoubt" }
    | { readonly kind: "keyReused" }
    | { readonly kind: "unavailable" };

export type Settlement =
    | { readonly state: "answered"; readonly status: number; readonly contentType: string; readonly body: string }
    | { readonly state: "notRun" };

export type Claims = { readonly claim: (request: ClaimRequest) => Promise<Claim> };

const settleAttempts = 3;

export function makeClaims({ table, settings }: Surroundings): Claims {
    return {
        claim: async request => {
            const at = claimKey(request.service, request.workspace, request.key);
            const before = await table.read(at);
            if (before.kind !== "done") {
                return { kind: "unavailable" };
            }
            const stood = before.value === undefined ? undefined : ClaimRow.parse(before.value.body);
            if (stood !== undefined && (stood.digest !== request.digest || stood.state !== "notRun")) {
                return standing(stood, request);
            }
            const token = randomUUID();
            const version = (before.value?.version ?? 0) + 1;
            const body: ClaimRow = {
                requestId: request.requestId,
                process: settings.process.id,
                digest: request.digest,
                state: "claimed",
            };
            const condition = before.value === undefined
                ? { kind: "absent" as const }
                : { kind: "versionIs" as const, version: before.value.version };
            const written = await table.transact(
                [{ kind: "put", at, row: { version, token, body }, condition }],
                token,
            );
            if (written.kind !== "done" && !await wasWritten(table, at, token)) {
                return written.kind === "conflict" ? { kind: "inDoubt" } : { kind: "unavailable" };
            }
            return { kind: "granted", settle: outcome => settle(table, { body, version, at }, outcome) };
        },
    };
}

function standing(row: ClaimRow, request: ClaimRequest): Claim {
    if (row.digest !== request.digest) {
        return { kind: "keyReused" };
    }
    return row.state === "answered" ? { kind: "answered", row } : { kind: "inDoubt" };
}

/** Settles a lost answer by reading back the row and its token. */
async function wasWritten(table: Table, at: Key, token: string): Promise<boolean> {
    const outcome = await table.read(at);
    return outcome.kind === "done" && outcome.value?.token === token;
}

type Held = { readonly body: ClaimRow; readonly version: number; readonly at: Key };

async function settle(table: Table, held: Held, outcome: Settlement): Promise<void> {
    const body: ClaimRow = { ...held.body, ...outcome };
    const token = randomUUID();
    for (let attempt = 0; attempt < settleAttempts; attempt++) {
        const row = { version: held.version + 1, token, body };
        const written = await table.transact([{
            kind: "put",
            at: held.at,
            row,
            condition: { kind: "versionIs", version: held.version },
        }], token);
        if (written.kind !== "unavailable") {
            return;
        }
    }
}
