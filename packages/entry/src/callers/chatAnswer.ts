/** The answer to a chat completion as it grows, over however many attempts it takes. */
import { type CallerError, type ChatChunk, errorBody } from "@rattanquay/schema";
import { type Surroundings } from "../surroundings";
import { type Exchange } from "./exchange";

/** The answer, as whoever makes attempts sees it. */
export type Answer = {
    /** Content chunks taken so far: where a resumed attempt goes on. */
    readonly tokens: () => number;
    readonly text: () => string;
    /** Whether anything has gone out to the caller. */
    readonly begun: () => boolean;
    /** Takes chunks from this attempt, and from no other, until it is left. */
    readonly expect: (attemptId: string) => Sink;
    /** Ends the attempt: whatever comes of it later reaches no one. */
    readonly leave: (attemptId: string) => void;
    /** Ends with an error event; never to be mistaken for a clean end. */
    readonly breakOff: (code: CallerError) => void;
    readonly passRejection: (status: number, body: string) => void;
};

/** Where one attempt leaves what it receives. */
export type Sink = {
    /**
     * Takes one chunk; `false` asks the attempt to wait for `onDrain`. What comes from the finish reason on is held until
     * the end marker: an attempt that is cut between the two must leave nothing that looks like an end.
     */
    readonly take: (chunk: ChatChunk, data: string, isFinishing: boolean) => boolean;
    readonly onDrain: (resume: () => void) => void;
    /** The stream came to its proper end: a finish reason, then the end marker. */
    readonly finish: () => void;
};

const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-cache" };

/** An answer that goes out chunk by chunk. */
export function makeStreamedAnswer(exchange: Exchange, surroundings: Surroundings): Answer {
    const { response } = exchange;
    const progress = makeProgress(exchange, surroundings);
    const send = (data: string): boolean => {
        if (!response.headersSent) {
            response.writeHead(200, streamHeaders);
        }
        return response.write(`data: ${data}\n\n`);
    };
    return {
        ...progress,
        ...guardAttempts(() => {
            const held: { readonly chunk: ChatChunk; readonly data: string }[] = [];
            return {
                take: (chunk, data, isFinishing) => {
                    if (isFinishing) {
                        held.push({ chunk, data });
                        return true;
                    }
                    progress.note(chunk);
                    return send(data);
                },
                onDrain: resume => response.once("drain", resume),
                finish: () => {
                    held.forEach(({ chunk, data }) => {
                        progress.note(chunk);
                        send(data);
                    });
                    progress.observe();
                    response.end("data: [DONE]\n\n");
                },
            };
        }),
        begun: () => response.headersSent,
        breakOff: code => response.end(`data: ${errorBody(code, exchange.requestId)}\n\n`),
        passRejection: (status, body) => sendJson(exchange, status, body),
    };
}

/** An answer that goes out in one piece, gathered from the same stream of chunks. */
export function makeWholeAnswer(exchange: Exchange, surroundings: Surroundings): Answer {
    const progress = makeProgress(exchange, surroundings);
    return {
        ...progress,
        ...guardAttempts(() => {
            let last: ChatChunk | undefined;
            let finishReason: string | undefined;
            let usage: unknown;
            return {
                take: chunk => {
                    progress.note(chunk);
                    last = chunk;
                    finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
                    usage = chunk.usage ?? usage;
                    return true;
                },
                onDrain: resume => resume(),
                finish: () => {
                    progress.observe();
                    const message = { role: "assistant", content: progress.text() };
                    const choices = [{ index: 0, message, finish_reason: finishReason }];
                    sendJson(exchange, 200, JSON.stringify({ ...last, object: "chat.completion", choices, usage }));
                },
            };
        }),
        begun: () => false,
        breakOff: code => sendJson(exchange, 502, errorBody(code, exchange.requestId)),
        passRejection: (status, body) => sendJson(exchange, status, body),
    };
}

/** Lets chunks through from the attempt that is expected, and drops all others. */
function guardAttempts(makeSink: () => Sink): Pick<Answer, "expect" | "leave"> {
    let expected: string | undefined;
    return {
        expect: attemptId => {
            const sink = makeSink();
            const isExpected = (): boolean => expected === attemptId;
            expected = attemptId;
            return {
                take: (chunk, data, isFinishing) => !isExpected() || sink.take(chunk, data, isFinishing),
                onDrain: sink.onDrain,
                finish: () => {
                    if (isExpected()) {
                        sink.finish();
                    }
                },
            };
        },
        leave: attemptId => {
            expected = expected === attemptId ? undefined : expected;
        },
    };
}

function sendJson({ response }: Exchange, status: number, body: string): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(body);
}

function makeProgress(exchange: Exchange, { timer, metrics }: Surroundings) {
    const parts: string[] = [];
    let firstAtMs: number | undefined;
    let lastAtMs = 0;
    const counter = metrics.tokens.labels({ service: exchange.service });
    return {
        tokens: () => parts.length,
        text: () => parts.join(""),
        note: (chunk: ChatChunk) => {
            const content = chunk.choices[0]?.delta.content;
            if (content === undefined || content === "") {
                return;
            }
            lastAtMs = timer.nowMs();
            firstAtMs ??= lastAtMs;
            parts.push(content);
            counter.inc();
        },
        observe: () => {
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
