/** Makes single calls and returns the properties of their answers that checks and measurements need. */
import { systemTimer } from "@rattanquay/timer";
import { createParser } from "eventsource-parser";
import { Agent, request as httpRequest } from "node:http";
import { callerKey } from "../cluster/clusterSpec";

export type ChatRequest = {
    readonly port: number;
    readonly model?: string;
    readonly messages: readonly { readonly role: string; readonly content: string }[];
    readonly maxTokens: number;
    /** The length of the answer in tokens, which only the stand-in engine reads. */
    readonly length?: number;
    readonly key?: string;
    readonly requestId?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly onToken?: (index: number) => void;
};

/** How a call ended according to its answer; `none` when the connection ended without an answer. */
export type Outcome = "answered" | "notRun" | "unknown" | "none";

export type CallResult = {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly text: string;
    readonly tokens: number;
    readonly whole: boolean;
    /** Whether the stream reached its end marker without an error event, with or without a finish reason. */
    readonly endedCleanly: boolean;
    readonly outcome: Outcome;
    /** The error code of the body or of an error event. */
    readonly errorCode: string | undefined;
    readonly retryAfter: string | undefined;
    readonly firstTokenMs: number | undefined;
    readonly betweenTokensMs: number | undefined;
    readonly totalMs: number;
};

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
const callTimeoutMs = 120_000;

/** Requests a streamed chat completion. Never rejects. */
export function callChat(call: ChatRequest): Promise<CallResult> {
    const startMs = systemTimer.nowMs();
    const received: ReceivedResponse = { status: 0, headers: {}, raw: "" };
    const reader = makeStreamReader(call.onToken);
    return new Promise(resolve => {
        const finish = (): void => resolve(resultOf(received, reader.progress, startMs));
        const request = httpRequest(`http://127.0.0.1:${call.port}/v1/chat/completions`, {
            method: "POST",
            agent,
            headers: {
                "content-type": "application/json",
                authorization: `Bearer ${call.key ?? callerKey}`,
                ...(call.requestId === undefined ? {} : { "x-request-id": call.requestId }),
                ...call.headers,
            },
            signal: AbortSignal.timeout(callTimeoutMs),
        }, response => {
            received.status = response.statusCode ?? 0;
            received.headers = response.headers;
            response.setEncoding("utf8");
            response.on("data", (text: string) => {
                if (received.status === 200) {
                    reader.feed(text);
                    return;
                }
                received.raw += text;
            });
            response.on("close", finish);
            response.on("error", () => undefined);
        });
        request.on("error", finish);
        request.end(requestBodyOf(call));
    });
}

type ReceivedResponse = { status: number; headers: Headers; raw: string };

/** What has been read of a stream so far. */
type StreamProgress = {
    readonly parts: string[];
    firstAtMs: number | undefined;
    lastAtMs: number;
    done: boolean;
    hasFinishReason: boolean;
    errorCode: string | undefined;
};

function requestBodyOf({ model = "assistant", messages, maxTokens, length }: ChatRequest): string {
    return JSON.stringify({
        model,
        messages,
        stream: true,
        max_tokens: maxTokens,
        ...(length === undefined ? {} : { lab_length: length }),
    });
}

function makeStreamReader(onToken: ChatRequest["onToken"]) {
    const progress: StreamProgress = {
        parts: [],
        firstAtMs: undefined,
        lastAtMs: 0,
        done: false,
        hasFinishReason: false,
        errorCode: undefined,
    };
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                progress.done = true;
                return;
            }
            const event = JSON.parse(data) as StreamEvent;
            progress.errorCode ??= event.error?.code;
            progress.hasFinishReason ||= typeof event.choices?.[0]?.finish_reason === "string";
            const content = event.choices?.[0]?.delta?.content;
            if (content !== undefined && content !== "") {
                progress.lastAtMs = systemTimer.nowMs();
                progress.firstAtMs ??= progress.lastAtMs;
                progress.parts.push(content);
                onToken?.(progress.parts.length);
            }
        },
    });
    return { progress, feed: (text: string) => parser.feed(text) };
}

function resultOf({ status, headers, raw }: ReceivedResponse, progress: StreamProgress, startMs: number): CallResult {
    const { parts, firstAtMs, lastAtMs, done, hasFinishReason, errorCode } = progress;
    const endedCleanly = done && errorCode === undefined;
    return {
        status,
        requestId: headers["x-request-id"] as string | undefined,
        text: parts.join(""),
        tokens: parts.length,
        whole: endedCleanly && hasFinishReason,
        endedCleanly,
        outcome: chatOutcome(status, headers, endedCleanly),
        errorCode: errorCode ?? (status === 200 ? undefined : errorCodeOf(raw)),
        retryAfter: headers["retry-after"] as string | undefined,
        firstTokenMs: firstAtMs === undefined ? undefined : firstAtMs - startMs,
        betweenTokensMs: firstAtMs === undefined || parts.length < 2
            ? undefined
            : (lastAtMs - firstAtMs) / (parts.length - 1),
        totalMs: systemTimer.nowMs() - startMs,
    };
}

function chatOutcome(status: number, headers: Headers, endedCleanly: boolean): Outcome {
    if (status === 0) {
        return "none";
    }
    const reported = headers["x-outcome"] as Outcome | undefined;
    return reported ?? (endedCleanly || status !== 200 ? "answered" : "unknown");
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

type StreamEvent = {
    readonly error?: { readonly code: string };
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string };
        readonly finish_reason?: string | null;
    }[];
};

function errorCodeOf(raw: string): string | undefined {
    try {
        return (JSON.parse(raw) as { readonly error?: { readonly code?: string } }).error?.code;
    }
    catch {
        return undefined;
    }
}

export type ServiceCall = {
    readonly port: number;
    readonly path: string;
    readonly method?: string;
    readonly body?: string;
    readonly idempotencyKey?: string;
    readonly requestId?: string;
    readonly key?: string;
};

export type ServiceResult = {
    readonly status: number;
    readonly outcome: Outcome;
    readonly body: string;
    readonly errorCode: string | undefined;
};

/** Calls a plain service. Never rejects; `status` is 0 when no answer arrived. */
export async function callService(
    call: ServiceCall,
): Promise<ServiceResult> {
    try {
        const response = await fetch(`http://127.0.0.1:${call.port}${call.path}`, {
            method: call.method ?? "POST",
            headers: {
                "content-type": "application/json",
                authorization: `Bearer ${call.key ?? callerKey}`,
                ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
                ...(call.requestId === undefined ? {} : { "x-request-id": call.requestId }),
            },
            signal: AbortSignal.timeout(callTimeoutMs),
            ...(call.body === undefined ? {} : { body: call.body }),
        });
        const body = await response.text();
        const outcome = (response.headers.get("x-outcome") ?? "answered") as Outcome;
        return { status: response.status, outcome, body, errorCode: response.ok ? undefined : errorCodeOf(body) };
    }
    catch {
        return { status: 0, outcome: "none", body: "", errorCode: undefined };
    }
}
