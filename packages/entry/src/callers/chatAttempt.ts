/** Makes one attempt at a chat completion, at a replica or at an entry instance of another availability zone. */
import { findHeadFault } from "@rattanquay/peer";
import { type Limits } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { Agent, request as httpRequest, type ServerResponse } from "node:http";
import { isCallerGone } from "./admission";
import { type ChatAnswer } from "./chatAnswer";
import { readRefusal } from "./chatRefusal";
import { readStream } from "./chatStream";
import { watchIdle } from "./idleWatch";

export type AttemptResult =
    | { readonly kind: "whole" }
    /** The upstream received no byte of the request, or it proved that it did not run it. */
    | { readonly kind: "unreached" }
    /** The upstream rejected the request as invalid; another replica would reject it too. */
    | { readonly kind: "rejected"; readonly status: number; readonly body: string }
    /**
     * The stream ended before it was complete, or the upstream's refusal does not show whether the request ran. `fault` is what
     * could not be read of the answer, if one came.
     */
    | { readonly kind: "cut"; readonly fault?: string }
    | { readonly kind: "timedOut" }
    | { readonly kind: "callerGone" };

type Attempt = {
    /** The answer accepts chunks only from the attempt with this id. */
    readonly attemptId: string;
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Set for an entry instance, which returns it with each answer: a refusal without it is not that instance's. */
    readonly echoedRequestId?: string | undefined;
    /** The request body. `stream` is always set to true, also when the caller did not ask for a stream. */
    readonly call: Readonly<Record<string, unknown>>;
    readonly answer: ChatAnswer;
    readonly limits: Limits;
    readonly timer: Timer;
    readonly response: ServerResponse;
};

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

export function attemptChat(attempt: Attempt): Promise<AttemptResult> {
    const { attemptId, answer, timer, limits, response: callerResponse } = attempt;
    return new Promise(resolve => {
        if (isCallerGone(callerResponse)) {
            resolve({ kind: "callerGone" });
            return;
        }
        let ended = false;
        let connected = false;
        const end = (result: AttemptResult): void => {
            if (ended) {
                return;
            }
            ended = true;
            idle.cancel();
            cancelConnect();
            callerResponse.off("close", onCallerGone);
            answer.leave(attemptId);
            resolve(result);
            if (result.kind !== "whole") {
                request.destroy();
            }
        };
        const connectionFailure = (): AttemptResult => ({ kind: connected ? "cut" : "unreached" });
        const onCallerGone = (): void => end({ kind: "callerGone" });
        const request = httpRequest(`http://${attempt.address}/v1/chat/completions`, {
            method: "POST",
            agent,
            headers: { ...attempt.headers, "content-type": "application/json", accept: "text/event-stream" },
        }, response => {
            const fault = findHeadFault(response);
            if (fault !== undefined) {
                end({ kind: "cut", fault });
                return;
            }
            if (response.statusCode === 200) {
                readStream(response, answer.openSink(attemptId), end, idle);
                return;
            }
            readRefusal(response, attempt.echoedRequestId, end);
        });
        const idle = watchIdle(timer, limits.upstreamIdleTimeoutMs, () => end({ kind: "timedOut" }));
        const cancelConnect = timer.after(limits.connectTimeoutMs, () => connected || end({ kind: "unreached" }));
        request.on("socket", socket => {
            connected = !socket.connecting;
            socket.once("connect", () => {
                connected = true;
            });
        });
        request.on("error", () => end(connectionFailure()));
        request.on("close", () => end(connectionFailure()));
        callerResponse.once("close", onCallerGone);
        request.end(JSON.stringify({ ...attempt.call, stream: true }));
    });
}
