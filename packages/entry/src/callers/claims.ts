/** Carries out what the core decides about claims, against the platform's table. */
import {
    type ClaimStep,
    type ClaimVerdict,
    continueClaim,
    planSettlement,
    type Settlement,
    startClaim,
} from "@rattanquay/core";
import { type ClaimRow, type Key, type Row } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
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

/** Records the outcome of a claim. */
export type Settler = {
    /** Tries once; whether it is recorded. */
    readonly settle: (settlement: Settlement) => Promise<boolean>;
    /** Tries some more, for when the caller has its answer already and the platform was down. */
    readonly settleLate: (settlement: Settlement) => Promise<void>;
};

export type Claim =
    | { readonly kind: "granted"; readonly settler: Settler }
    | { readonly kind: "answered"; readonly row: ClaimRow }
    | { readonly kind: "inDoubt" }
    | { readonly kind: "keyReused" }
    /** Nothing may be sent. The settler frees the claim in case that its write took effect after all. */
    | { readonly kind: "unavailable"; readonly settler: Settler };

export type Claims = { readonly claim: (request: ClaimRequest) => Promise<Claim> };

const lateAttempts = 5;
const lateAttemptIntervalMs = 1_000;

export function makeClaims(surroundings: Surroundings): Claims {
    const { settings } = surroundings;
    return {
        claim: async ({ service, workspace, key, digest, requestId }) => {
            const at = claimKey(service, workspace, key);
            const token = randomUUID();
            let step = startClaim({ token, requestId, process: settings.process.id, digest });
            while (step.kind !== "ended") {
                step = await carryOut(step, at, surroundings);
            }
            const { verdict } = step;
            return "version" in verdict
                ? { kind: verdict.kind, settler: makeSettler(verdict, token, at, surroundings) }
                : verdict;
        },
    };
}

async function carryOut(
    step: Exclude<ClaimStep, { readonly kind: "ended" }>,
    at: Key,
    { table }: Surroundings,
): Promise<ClaimStep> {
    if (step.kind === "read") {
        return continueClaim(step.state, { kind: "read", outcome: await table.read(at) });
    }
    const { row, condition } = step;
    return continueClaim(step.state, {
        kind: "written",
        outcome: await table.transact([{ kind: "put", at, row, condition }], randomUUID()),
    });
}

function makeSettler(
    { version }: Extract<ClaimVerdict, { readonly version: number }>,
    token: string,
    at: Key,
    { table, timer, log }: Surroundings,
): Settler {
    const settleToken = randomUUID();
    const isSettled = (row: Row | undefined): boolean => row?.token === settleToken;
    const settle = async (settlement: Settlement): Promise<boolean> => {
        const read = await table.read(at);
        if (read.kind !== "done" || isSettled(read.value)) {
            return read.kind === "done";
        }
        const planned = planSettlement(read.value, { token, version }, settlement, settleToken);
        if (planned === undefined) {
            return true;
        }
        const written = await table.transact([{ kind: "put", at, ...planned }], randomUUID());
        return written.kind === "done";
    };
    return {
        settle,
        settleLate: async settlement => {
            if (version === 0) {
                return;
            }
            for (let attempt = 0; attempt < lateAttempts; attempt++) {
                await sleep(timer, lateAttemptIntervalMs);
                if (await settle(settlement)) {
                    return;
                }
            }
            log.warn("claimUnsettled", { ...at, state: settlement.state });
        },
    };
}
