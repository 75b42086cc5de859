/**
 * Handles calls that may run at most once and carry an `Idempotency-Key`: the call is claimed in the table before it is
 * sent, and its outcome is stored afterwards.
 */
import { type Settlement } from "@rattanquay/core";
import { findHeadFault } from "@rattanquay/peer";
import { type ClaimRow } from "@rattanquay/schema";
import { digestOf } from "../tickets";
import { type HandlerContext } from "./callerListener";
import { type Claim, type Settler } from "./claims";
import { withClientSpan } from "./clientSpan";
import { type Exchange, type RequestOutcome, sendError } from "./exchange";
import { type PlainCall } from "./plain";
import { type CallResult, sendResult } from "./plainAnswer";

/** The largest response that is stored, as base64 with its headers; well below the size limit of a table row. */
const maxStoredBytes = 192 * 1_024;
const platformRetryAfterMs = 1_000;
/** A retry is worthwhile, because the earlier call may still be running and its response may still be stored. */
const inDoubtRetryAfterMs = 1_000;

type RunCall = () => Promise<CallResult>;

export async function serveClaimedCall(
    exchange: Exchange,
    call: PlainCall,
    key: string,
    context: HandlerContext,
    run: RunCall,
): Promise<RequestOutcome> {
    const { requestId, service, request } = exchange;
    const digest = digestOf([request.method, call.path, call.body.toString("base64")]);
    const claimRequest = { service, workspace: call.workspace, key, digest, requestId };
    const claim = await withClientSpan("table claim", exchange, context, () => context.claims.claim(claimRequest));
    const tracedClaim = "settler" in claim
        ? { ...claim, settler: traceSettler(claim.settler, exchange, context) }
        : claim;
    return (handlers[tracedClaim.kind] as Handler<Claim>)(tracedClaim, exchange, run);
}

/** Traces `settle` only: `settleWithRetries` runs after the response was sent. */
function traceSettler(settler: Settler, exchange: Exchange, context: HandlerContext): Settler {
    return {
        ...settler,
        settle: settlement => withClientSpan("table settle", exchange, context, () => settler.settle(settlement)),
    };
}

type Handler<C extends Claim> = (claim: C, exchange: Exchange, run: RunCall) => Promise<RequestOutcome>;

const handlers: { readonly [K in Claim["kind"]]: Handler<Extract<Claim, { readonly kind: K }>> } = {
    granted: async ({ settler }, exchange, run) => {
        const result = await run();
        const settlement = settlementOf(result);
        return settlement === undefined
            ? sendResult(exchange, result)
            : settleAndAnswer(settler, settlement, () => sendResult(exchange, result));
    },
    answered: async ({ row }, exchange) => replay(exchange, row),
    inDoubt: async (unusedClaim, exchange) => sendError(exchange, "inDoubt", { retryAfterMs: inDoubtRetryAfterMs }),
    keyReused: async (unusedClaim, exchange) => sendError(exchange, "keyReused"),
    unavailable: async ({ settler }, exchange) => {
        const outcome = sendError(exchange, "platformUnavailable", { retryAfterMs: platformRetryAfterMs });
        await settler.settleWithRetries({ state: "notRun" });
        return outcome;
    },
};

/**
 * Stores the outcome before the caller gets it, so that a repeated call finds it. If the table does not respond, the
 * caller gets its answer first and storing is retried afterwards.
 */
async function settleAndAnswer(
    settler: Settler,
    settlement: Settlement,
    answer: () => RequestOutcome,
): Promise<RequestOutcome> {
    const isRecorded = await settler.settle(settlement);
    const outcome = answer();
    if (!isRecorded) {
        await settler.settleWithRetries(settlement);
    }
    return outcome;
}

/** Returns `undefined` for a call that may have run: its claim stays unsettled, so repeats get `inDoubt`. */
function settlementOf(result: CallResult): Settlement | undefined {
    if (result.kind === "cut" || result.kind === "timedOut") {
        return undefined;
    }
    if (result.kind !== "answered") {
        return { state: "notRun" };
    }
    const { status, headers, body } = result;
    const encodedBody = body.toString("base64");
    const plainHeaders = Object.fromEntries(
        Object.entries(headers).map(([name, value]) => [name, typeof value === "string" ? value : value.join(", ")]),
    );
    const size = encodedBody.length + JSON.stringify(plainHeaders).length;
    return size > maxStoredBytes
        ? { state: "answered", status }
        : { state: "answered", status, headers: plainHeaders, body: encodedBody };
}

function replay(exchange: Exchange, row: ClaimRow): RequestOutcome {
    if (row.body === undefined || row.status === undefined) {
        return sendError(exchange, "answerNotKept", { detail: `Its status was ${row.status}.` });
    }
    const { response } = exchange;
    const headers = row.headers ?? {};
    const fault = findHeadFault({ statusCode: row.status, headers, rawHeaders: Object.entries(headers).flat() });
    if (fault !== undefined) {
        return sendError(exchange, "answerNotKept", { detail: `Its status was ${row.status}; its head has a fault.` });
    }
    response.writeHead(row.status, { ...headers, "idempotent-replayed": "true" });
    response.end(Buffer.from(row.body, "base64"));
    return { ending: "answered", code: "replayed" };
}
