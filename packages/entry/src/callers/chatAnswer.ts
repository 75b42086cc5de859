/** Assembles the answer to a chat completion from one or more attempts. */
import { type CallerError, type ChatChunk, errorBody } from "@rattanquay/schema";
import { type ProcessContext } from "../processContext";
import { type Exchange } from "./exchange";

/** The interface through which attempts add to the answer. */
export type ChatAnswer = {
    /** The number of content chunks received so far, which is where a resumed attempt continues. */
    readonly tokens: () => number;
    readonly text: () => string;
    /** Whether anything has been sent to the caller. */
    readonly hasStarted: () => boolean;
    /** Accepts chunks from this attempt only, until `leave` is called with its id. */
    readonly openSink: (attemptId: string) => ChunkSink;
    /** Detaches the attempt: chunks that it delivers later are discarded. */
    readonly leave: (attemptId: string) => void;
    /** Ends the response with an error, so that the caller cannot mistake it for a complete answer. */
    readonly endWithError: (code: CallerError) => void;
    readonly forwardRejection: (status: number, body: string) => void;
};

/** Receives the chunks of one attempt. */
export type ChunkSink = {
    /**
     * Accepts one chunk; `false` asks the attempt to wait for `onDrain`. Chunks from the finish reason on are held back
     * until the end marker, so that an attempt that is cut in between sends nothing that looks like the end.
     */
    readonly write: (chunk: ChatChunk, data: string, isFinishing: boolean) => boolean;
    readonly onDrain: (resume: () => void) => void;
    /** Called when the stream is complete: a finish reason, then the end marker. */
    readonly finish: () => void;
};

const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-cache" };

/** Makes an answer that is sent to the caller chunk by chunk. */
export function makeStreamingAnswer(exchange: Exchange, processContext: ProcessContext): ChatAnswer {
    const { response } = exchange;
    const progress = makeProgress(exchange, processContext);
    const send = (data: string): boolean => {
        if (!response.headersSent) {
            response.writeHead(200, streamHeaders);
        }
        return response.write(`data: ${data}\n\n`);
    };
    return {
        ...progress,
        ...acceptCurrentAttempt(() => {
            const heldChunks: { readonly chunk: ChatChunk; readonly data: string }[] = [];
            return {
                write: (chunk, data, isFinishing) => {
                    if (isFinishing) {
                        heldChunks.push({ chunk, data });
                        return true;
                    }
                    progress.record(chunk);
                    return send(data);
                },
                onDrain: resume => response.once("drain", resume),
                finish: () => {
                    heldChunks.forEach(({ chunk, data }) => {
                        progress.record(chunk);
                        send(data);
                    });
                    progress.observeLatency();
                    response.end("data: [DONE]\n\n");
                },
            };
        }),
        hasStarted: () => response.headersSent,
        endWithError: code => response.end(`data: ${errorBody(code, exchange.requestId)}\n\n`),
        forwardRejection: (status, body) => sendJson(exchange, status, body),
    };
}

/** Makes an answer that is collected from the same stream of chunks and sent as one JSON body. */
export function makeBufferedAnswer(exchange: Exchange, processContext: ProcessContext): ChatAnswer {
    const progress = makeProgress(exchange, processContext);
    return {
        ...progress,
        ...acceptCurrentAttempt(() => {
            let last: ChatChunk | undefined;
            let finishReason: string | undefined;
            let usage: unknown;
            return {
                write: chunk => {
                    progress.record(chunk);
                    last = chunk;
                    finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
                    usage = chunk.usage ?? usage;
                    return true;
                },
                onDrain: resume => resume(),
                finish: () => {
                    progress.observeLatency();
                    const message = { role: "assistant", content: progress.text() };
                    const choices = [{ index: 0, message, finish_reason: finishReason }];
                    sendJson(exchange, 200, JSON.stringify({ ...last, object: "chat.completion", choices, usage }));
                },
            };
        }),
        hasStarted: () => false,
        endWithError: code => sendJson(exchange, 502, errorBody(code, exchange.requestId)),
        forwardRejection: (status, body) => sendJson(exchange, status, body),
    };
}

/** Forwards chunks of the current attempt to its sink, and drops those of all others. */
function acceptCurrentAttempt(makeSink: () => ChunkSink): Pick<ChatAnswer, "openSink" | "leave"> {
    let currentAttempt: string | undefined;
    return {
        openSink: attemptId => {
            const sink = makeSink();
            const isCurrent = (): boolean => currentAttempt === attemptId;
            currentAttempt = attemptId;
            return {
                write: (chunk, data, isFinishing) => !isCurrent() || sink.write(chunk, data, isFinishing),
                onDrain: sink.onDrain,
                finish: () => {
                    if (isCurrent()) {
                        sink.finish();
                    }
                },
            };
        },
        leave: attemptId => {
            currentAttempt = currentAttempt === attemptId ? undefined : currentAttempt;
        },
    };
}

function sendJson({ response }: Exchange, status: number, body: string): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(body);
}

function makeProgress(exchange: Exchange, { timer, metrics }: ProcessContext) {
    const parts: string[] = [];
    let firstAtMs: number | undefined;
    let lastAtMs = 0;
    const counter = metrics.tokens.labels({ service: exchange.service });
    return {
        tokens: () => parts.length,
        text: () => parts.join(""),
        record: (chunk: ChatChunk) => {
            const content = chunk.choices[0]?.delta.content;
            if (content === undefined || content === "") {
                return;
            }
            lastAtMs = timer.nowMs();
            firstAtMs ??= lastAtMs;
            parts.push(content);
            counter.inc();
        },
        observeLatency: () => {
            if (firstAtMs === undefined) {
                return;
            }
            metrics.firstToken.observe(
                { service: exchange.service, workClass: "any" },
                (firstAtMs - exchange.arrivedAtMs) / 1_000,
            );
            if (parts.length > 1) {
                metrics.betweenTokens.observe(
                    { service: exchange.service },
                    (lastAtMs - firstAtMs) / (parts.length - 1) / 1_000,
                );
            }
        },
    };
}
