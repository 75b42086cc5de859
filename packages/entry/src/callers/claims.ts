/** Executes the steps of the claim state machine in core against the platform's table. */
import {
    type ClaimStep,
    type ClaimVerdict,
    continueClaim,
    planSettlement,
    type Settlement,
    startClaim,
} from "@rattanquay/core";
import { type ClaimRow, type Row, type RowKey } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
import { randomUUID } from "node:crypto";
import { type ProcessContext } from "../processContext";
import { claimKey } from "../rowKeys";

export type ClaimRequest = {
    readonly service: string;
    readonly workspace: string;
    readonly key: string;
    /** A digest of the request's method, path and body, because a key may be used for one request only. */
    readonly digest: string;
    readonly requestId: string;
};

/** Records the outcome of a claim. */
export type Settler = {
    /** Tries once; resolves to whether the outcome is recorded. */
    readonly settle: (settlement: Settlement) => Promise<boolean>;
    /** Retries several times. Called after the response was sent, when the table did not respond. */
    readonly settleWithRetries: (settlement: Settlement) => Promise<void>;
};

export type Claim =
    | { readonly kind: "granted"; readonly settler: Settler }
    | { readonly kind: "answered"; readonly row: ClaimRow }
    | { readonly kind: "inDoubt" }
    | { readonly kind: "keyReused" }
    /** The request must not be sent. The settler releases the claim in case its write took effect after all. */
    | { readonly kind: "unavailable"; readonly settler: Settler };

export type Claims = { readonly claim: (request: ClaimRequest) => Promise<Claim> };

const maxSettleRetries = 5;
const settleRetryIntervalMs = 1_000;

export function makeClaims(processContext: ProcessContext): Claims {
    const { settings } = processContext;
    return {
        claim: async ({ service, workspace, key, digest, requestId }) => {
            const at = claimKey(service, workspace, key);
            const token = randomUUID();
            let step = startClaim({ token, requestId, process: settings.process.id, digest });
            while (step.kind !== "ended") {
                step = await executeStep(step, at, processContext);
            }
            const { verdict } = step;
            return "version" in verdict
                ? { kind: verdict.kind, settler: makeSettler(verdict, token, at, processContext) }
                : verdict;
        },
    };
}

async function executeStep(
    step: Exclude<ClaimStep, { readonly kind: "ended" }>,
    at: RowKey,
    { table }: ProcessContext,
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
    at: RowKey,
    { table, timer, log }: ProcessContext,
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
        settleWithRetries: async settlement => {
            if (version === 0) {
                return;
            }
            for (let attempt = 0; attempt < maxSettleRetries; attempt++) {
                await sleep(timer, settleRetryIntervalMs);
                if (await settle(settlement)) {
                    return;
                }
            }
            log.warn("claimUnsettled", { ...at, state: settlement.state });
        },
    };
}
