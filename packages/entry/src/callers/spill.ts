/**
 * Forwards a chat completion to another availability zone, at most once, when this zone has no replica for it or none
 * in time.
 *
 * The other entry instance treats the request like one from its own callers. Its refusals come back as `unreached`, so
 * that `notRun` is reported only when the other instance proved it or received no byte.
 */
import { type ChatCall, headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { isValidSpillProof, makeSpillProof } from "../peers";
import { type HandlerContext } from "./callerListener";
import { type ChatAnswer } from "./chatAnswer";
import { attemptChat, type AttemptResult } from "./chatAttempt";
import { type Exchange } from "./exchange";

/** Whether a peer forwarded this request here; such a request is not forwarded again. */
function isAlreadySpilled({ request, requestId }: Exchange, { processContext }: HandlerContext): boolean {
    return isValidSpillProof(processContext.settings.peers.secret, {
        requestId,
        fromZone: request.headers[headerNames.spilledFrom],
        proof: request.headers[headerNames.peerProof],
    });
}

/** Resolves to `undefined` when the request may not or cannot be forwarded. */
export async function spill(
    exchange: Exchange,
    call: ChatCall,
    answer: ChatAnswer,
    context: HandlerContext,
): Promise<AttemptResult | undefined> {
    const { settings, tracing, timer, metrics } = context.processContext;
    const { availabilityZone } = settings.process;
    const address = answer.hasStarted() || isAlreadySpilled(exchange, context)
        ? undefined
        : context.spillTarget(exchange.service);
    if (address === undefined) {
        return undefined;
    }
    const span = tracing.startClientSpan("spill", exchange.span);
    span.setAttributes({ address, fromZone: availabilityZone });
    const result = await attemptChat({
        attemptId: randomUUID(),
        address,
        echoedRequestId: exchange.requestId,
        headers: {
            ...tracing.propagationHeaders(span),
            authorization: String(exchange.request.headers.authorization),
            [headerNames.requestId]: exchange.requestId,
            [headerNames.spilledFrom]: availabilityZone,
            [headerNames.peerProof]: makeSpillProof(settings.peers.secret, exchange.requestId, availabilityZone),
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
