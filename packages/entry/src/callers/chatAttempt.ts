/** One attempt at a replica: a stream is whole only with its finish reason and its end marker. */
import { type Limits } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { createParser } from "eventsource-parser";
import { Agent, type IncomingMessage, request as httpRequest, type ServerResponse } from "node:http";
import { type Answer } from "./chatAnswer";
import { readChunk } from "./chunk";

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
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly answer: Answer;
    readonly limits: Limits;
    readonly timer: Timer;
    readonly response: ServerResponse;
};

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

/** Statuses by which an engine says that it did not run the request, for reasons that another replica need not share. */
const notRunStatuses = new Set([404, 409, 429, 503]);
const endMarker = "[DONE]";

export function attemptChat(attempt: Attempt): Promise<AttemptResult> {
    return new Promise(resolve => {
        let ended = false;
        let reached = false;
        const end = (result: AttemptResult): void => {
            if (ended) {
                return;
            }
            ended = true;
            idle.cancel();
            attempt.response.off("close", onCallerGone);
            resolve(result);
            if (result.kind !== "whole") {
                request.destroy();
            }
        };
        const onCallerGone = (): void => end({ kind: "callerGone" });
        const request = httpRequest(`http://${attempt.address}/v1/chat/completions`, {
            method: "POST",
            agent,
            headers: { ...attempt.headers, "content-type": "application/json", accept: "text/event-stream" },
        }, response => {
            reached = true;
            const take = response.statusCode === 200 ? takeStream : takeRefusal;
            take(response, attempt, end, () => ended, idle.touch);
        });
        const idle = watchIdle(attempt, () => end({ kind: "timedOut" }));
        request.on("socket", socket => socket.once("connect", () => reached = true));
        request.on("error", () => end(reached || request.reusedSocket ? { kind: "cut" } : { kind: "unreached" }));
        attempt.response.once("close", onCallerGone);
        request.end(JSON.stringify({ ...JSON.parse(attempt.body), stream: true }));
    });
}

type Take = (
    response: IncomingMessage,
    attempt: Attempt,
    end: (result: AttemptResult) => void,
    isEnded: () => boolean,
    touch: () => void,
) => void;

const takeStream: Take = (response, { answer }, end, isEnded, touch) => {
    let finishSeen = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (isEnded()) {
                return;
            }
            if (data === endMarker) {
                if (finishSeen) {
                    answer.finish();
                }
                end({ kind: finishSeen ? "whole" : "cut" });
                return;
            }
            const chunk = readChunk(data);
            if (chunk === undefined) {
                end({ kind: "cut" });
                return;
            }
            finishSeen ||= typeof chunk.choices[0]?.finish_reason === "string";
            if (!answer.take(chunk, data)) {
                response.pause();
                answer.onDrain(() => response.resume());
            }
        },
    });
    response.setEncoding("utf8");
    response.on("data", (text: string) => {
        touch();
        parser.feed(text);
    });
    response.on("end", () => end({ kind: "cut" }));
    response.on("error", () => end({ kind: "cut" }));
    response.on("close", () => end({ kind: "cut" }));
};

const takeRefusal: Take = (response, unusedAttempt, end) => {
    let body = "";
    const status = response.statusCode ?? 502;
    response.setEncoding("utf8");
    response.on("data", (text: string) => body += text);
    response.on("error", () => end({ kind: "cut" }));
    response.on("end", () => {
        if (notRunStatuses.has(status)) {
            end({ kind: "unreached" });
            return;
        }
        end(status >= 500 ? { kind: "cut" } : { kind: "rejected", status, body });
    });
};

function watchIdle(
    { timer, limits }: Attempt,
    onIdle: () => void,
): { readonly touch: () => void; readonly cancel: () => void } {
    let lastMs = timer.nowMs();
    const cancel = timer.every(Math.max(10, limits.upstreamIdleTimeoutMs / 10), () => {
        if (timer.nowMs() - lastMs > limits.upstreamIdleTimeoutMs) {
            onIdle();
        }
    });
    return {
        touch: () => {
            lastMs = timer.nowMs();
        },
        cancel,
    };
}
