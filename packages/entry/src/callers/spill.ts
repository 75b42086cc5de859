/**
 * Passes a chat completion on to another zone, once, when this zone has no replica for it or none in time.
 *
 * The other entry instance decides as for its own callers, and its refusals come back as `unreached`, so that "not run"
 * stays true over the hop: it is told only when the other side proved it or took no byte.
 */
import { type ChatCall, headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { isProvedSpill, proofOfSpill } from "../peers";
import { type Reach } from "./callerDoor";
import { type Answer } from "./chatAnswer";
import { attemptChat, type AttemptResult } from "./chatAttempt";
import { type Exchange } from "./exchange";

/** Whether a peer has passed this request on already: it goes no further. */
function isSpilled({ request, requestId }: Exchange, { surroundings }: Reach): boolean {
    return isProvedSpill(surroundings.settings.peers.secret, {
        requestId,
        fromZone: request.headers[headerNames.spilledFrom],
        proof: request.headers[headerNames.peerProof],
    });
}

/** Resolves to nothing when the request may not or cannot be passed on. */
export async function spill(
    exchange: Exchange,
    call: ChatCall,
    answer: Answer,
    reach: Reach,
): Promise<AttemptResult | undefined> {
    const { settings, tracing, timer, metrics } = reach.surroundings;
    const { availabilityZone } = settings.process;
    const address = answer.begun() || isSpilled(exchange, reach) ? undefined : reach.spillTarget(exchange.service);
    if (address === undefined) {
        return undefined;
    }
    const span = tracing.startClient("spill", exchange.span);
    span.setAttributes({ address, fromZone: availabilityZone });
    const result = await attemptChat({
        attemptId: randomUUID(),
        address,
        headers: {
            ...tracing.headersOf(span),
            authorization: String(exchange.request.headers.authorization),
            [headerNames.requestId]: exchange.requestId,
            [headerNames.spilledFrom]: availabilityZone,
            [headerNames.peerProof]: proofOfSpill(settings.peers.secret, exchange.requestId, availabilityZone),
        },
        call,
        answer,
        limits: settings.limits,
        timer,
        response: exchange.response,
    });
    span.setAttributes({ result: result.kind });
    span.end();
    metrics.attempts.inc({ service: exchange.service, result: `spilled.${result.kind}` });
    return result;
}
