/** One attempt at a replica, or at an entry instance of another zone. */
import { type Limits } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { Agent, request as httpRequest, type ServerResponse } from "node:http";
import { isGone } from "./admitted";
import { type Answer } from "./chatAnswer";
import { takeRefusal } from "./chatRefusal";
import { takeStream } from "./chatStream";
import { watchIdle } from "./idleWatch";

export type AttemptResult =
    | { readonly kind: "whole" }
    /** No byte of the request was taken by the upstream, or it proved that it did not run it. */
    | { readonly kind: "unreached" }
    /** The upstream refused the request itself; another replica would, too. */
    | { readonly kind: "rejected"; readonly status: number; readonly body: string }
    /** The stream ended without its end. */
    | { readonly kind: "cut" }
    | { readonly kind: "timedOut" }
    | { readonly kind: "callerGone" };

type Attempt = {
    /** Chunks reach the answer only while it expects this attempt's. */
    readonly attemptId: string;
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
    /** The call; it is always streamed from the upstream. */
    readonly call: Readonly<Record<string, unknown>>;
    readonly answer: Answer;
    readonly limits: Limits;
    readonly timer: Timer;
    readonly response: ServerResponse;
};

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

export function attemptChat(attempt: Attempt): Promise<AttemptResult> {
    const { attemptId, answer, timer, limits, response: outgoing } = attempt;
    return new Promise(resolve => {
        if (isGone(outgoing)) {
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
            outgoing.off("close", onCallerGone);
            answer.leave(attemptId);
            resolve(result);
            if (result.kind !== "whole") {
                request.destroy();
            }
        };
        const failure = (): AttemptResult => ({ kind: connected ? "cut" : "unreached" });
        const onCallerGone = (): void => end({ kind: "callerGone" });
        const request = httpRequest(`http://${attempt.address}/v1/chat/completions`, {
            method: "POST",
            agent,
            headers: { ...attempt.headers, "content-type": "application/json", accept: "text/event-stream" },
        }, response =>
            response.statusCode === 200
                ? takeStream(response, answer.expect(attemptId), end, idle)
                : takeRefusal(response, end));
        const idle = watchIdle(timer, limits.upstreamIdleTimeoutMs, () => end({ kind: "timedOut" }));
        const cancelConnect = timer.after(limits.connectTimeoutMs, () => connected || end({ kind: "unreached" }));
        request.on("socket", socket => {
            connected = !socket.connecting;
            socket.once("connect", () => {
                connected = true;
            });
        });
        request.on("error", () => end(failure()));
        request.on("close", () => end(failure()));
        outgoing.once("close", onCallerGone);
        request.end(JSON.stringify({ ...attempt.call, stream: true }));
    });
}
