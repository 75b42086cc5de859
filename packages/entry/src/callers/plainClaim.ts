/** Calls that may run at most once and carry an `Idempotency-Key`: claimed before they are sent, kept when they have ended. */
import { type Settlement } from "@rattanquay/core";
import { type ClaimRow } from "@rattanquay/schema";
import { digestOf } from "../tickets";
import { type Reach } from "./callerDoor";
import { type Claim, type Settler } from "./claims";
import { type Conclusion, type Exchange, refuse } from "./exchange";
import { hop } from "./hop";
import { type PlainCall } from "./plain";
import { answerPlain, type Tried } from "./plainAnswer";

/** What is kept of an answer, well below what one row of the table may hold. */
const maxKeptBytes = 192 * 1_024;
const platformRetryAfterMs = 1_000;
/** The earlier call may still be under way, and its answer may yet be kept. */
const inDoubtRetryAfterMs = 1_000;

type Run = () => Promise<Tried>;

export async function claimAndAnswer(
    exchange: Exchange,
    call: PlainCall,
    key: string,
    reach: Reach,
    run: Run,
): Promise<Conclusion> {
    const { requestId, service, request } = exchange;
    const digest = digestOf([request.method, call.path, call.body.toString("base64")]);
    const wanted = { service, workspace: call.workspace, key, digest, requestId };
    const claim = await hop("table claim", exchange, reach, () => reach.claims.claim(wanted));
    const traced = "settler" in claim ? { ...claim, settler: traceSettler(claim.settler, exchange, reach) } : claim;
    return (handlers[traced.kind] as Handler<Claim>)(traced, exchange, run);
}

/** Late attempts come after the request's own span and have none. */
function traceSettler(settler: Settler, exchange: Exchange, reach: Reach): Settler {
    return { ...settler, settle: settlement => hop("table settle", exchange, reach, () => settler.settle(settlement)) };
}

type Handler<C extends Claim> = (claim: C, exchange: Exchange, run: Run) => Promise<Conclusion>;

const handlers: { readonly [K in Claim["kind"]]: Handler<Extract<Claim, { readonly kind: K }>> } = {
    granted: async ({ settler }, exchange, run) => {
        const tried = await run();
        const settlement = settlementOf(tried);
        return settlement === undefined
            ? answerPlain(exchange, tried)
            : settleAround(settler, settlement, () => answerPlain(exchange, tried));
    },
    answered: async ({ row }, exchange) => replay(exchange, row),
    inDoubt: async (unusedClaim, exchange) => refuse(exchange, "inDoubt", { retryAfterMs: inDoubtRetryAfterMs }),
    keyReused: async (unusedClaim, exchange) => refuse(exchange, "keyReused"),
    unavailable: async ({ settler }, exchange) => {
        const conclusion = refuse(exchange, "platformUnavailable", { retryAfterMs: platformRetryAfterMs });
        await settler.settleLate({ state: "notRun" });
        return conclusion;
    },
};

/** The outcome is kept before the caller hears it, so that a repeat finds it; but the caller does not wait for an outage. */
async function settleAround(settler: Settler, settlement: Settlement, answer: () => Conclusion): Promise<Conclusion> {
    const isRecorded = await settler.settle(settlement);
    const conclusion = answer();
    if (!isRecorded) {
        await settler.settleLate(settlement);
    }
    return conclusion;
}

/** Nothing for a call that may have run: its claim stays as it is, in doubt. */
function settlementOf(tried: Tried): Settlement | undefined {
    if (tried.kind === "cut" || tried.kind === "timedOut") {
        return undefined;
    }
    if (tried.kind !== "answered") {
        return { state: "notRun" };
    }
    const { status, headers, body } = tried;
    const kept = body.toString("base64");
    const plainHeaders = Object.fromEntries(
        Object.entries(headers).map(([name, value]) => [name, typeof value === "string" ? value : value.join(", ")]),
    );
    const size = kept.length + JSON.stringify(plainHeaders).length;
    return size > maxKeptBytes
        ? { state: "answered", status }
        : { state: "answered", status, headers: plainHeaders, body: kept };
}

function replay(exchange: Exchange, row: ClaimRow): Conclusion {
    if (row.body === undefined || row.status === undefined) {
        return refuse(exchange, "answerNotKept", { detail: `Its status was ${row.status}.` });
    }
    const { response } = exchange;
    response.writeHead(row.status, { ...row.headers, "idempotent-replayed": "true" });
    response.end(Buffer.from(row.body, "base64"));
    return { ending: "answered", code: "replayed" };
}
