/** Chat completions of one engine instance. Each is a sequence in the batch and a response stream. */
import { type ChatCall, headerNames } from "@rattanquay/schema";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { appendExecution } from "../history";
import { type Batch } from "./batch";
import { hashPrompt, tokenAt } from "./tokens";

/** One run of a request, recorded for history checks. */
export type Execution = {
    readonly requestId: string;
    readonly attemptId: string;
    readonly group: string;
    readonly from: number;
    tokens: number;
    ended: boolean;
};

export type Completions = {
    readonly start: (request: IncomingMessage, response: ServerResponse, call: ChatCall, group: string) => void;
    /** Empties the batch and breaks all response streams off. */
    readonly abortStreams: () => void;
    readonly executions: () => readonly Execution[];
};

const maxExecutions = 100_000;
const defaultTokens = 256;
const charactersPerToken = 4;

type Options = { readonly instance: string; readonly journal?: string };

export function makeCompletions(batch: Batch, options: Options): Completions {
    const streams = new Map<string, ServerResponse>();
    const executions: Execution[] = [];

    const recordExecution = (execution: Execution, call: ChatCall): void => {
        executions.push(execution);
        executions.splice(0, executions.length - maxExecutions);
        const { requestId, attemptId } = execution;
        const content = call.messages.at(-1)!.content;
        appendExecution(options.journal, { requestId, attemptId, call: content, upstream: options.instance });
    };

    return {
        start: (request, response, call, group) => {
            const id = randomUUID();
            const execution = executionOf(request, group);
            recordExecution(execution, call);
            streams.set(id, response);
            response.on("close", () => {
                batch.cancel(id);
                streams.delete(id);
            });
            run(batch, id, call, execution, response, Number(request.headers[headerNames.priority] ?? 0));
        },
        abortStreams: () => {
            batch.stop();
            streams.forEach(response => response.destroy());
            streams.clear();
        },
        executions: () => executions,
    };
}

function executionOf({ headers }: IncomingMessage, group: string): Execution {
    return {
        requestId: String(headers[headerNames.requestId]),
        attemptId: String(headers[headerNames.attemptId]),
        group,
        from: Number(headers[headerNames.resumeFrom] ?? 0),
        tokens: 0,
        ended: false,
    };
}

function run(
    batch: Batch,
    id: string,
    call: ChatCall,
    execution: Execution,
    response: ServerResponse,
    priority: number,
): void {
    const { from } = execution;
    const length = lengthOf(call);
    const hash = hashPrompt(call.messages);
    const send = makeSender(response, execution.requestId, call.model);
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    batch.add({
        id,
        priority,
        promptTokens: Math.ceil(JSON.stringify(call.messages).length / charactersPerToken),
        prefix: hash.slice(0, 16),
        from,
        length: Math.max(length, from),
        onToken: index => {
            if (index < length) {
                execution.tokens++;
                send({ content: tokenAt(hash, index) }, null);
            }
        },
        onEnd: () => {
            execution.ended = true;
            send({}, "stop");
            response.end("data: [DONE]\n\n");
        },
    });
}

/** `lab_length` is the actual length of the answer, which routers don't know in advance. */
function lengthOf(call: ChatCall): number {
    const limit = call.max_completion_tokens ?? call.max_tokens ?? defaultTokens;
    return Math.min(limit, Number(call.lab_length ?? Infinity));
}

function makeSender(response: ServerResponse, id: string, model: string) {
    return (delta: object, finishReason: string | null): void => {
        const choices = [{ index: 0, delta, finish_reason: finishReason }];
        response.write(`data: ${JSON.stringify({ id, object: "chat.completion.chunk", model, choices })}\n\n`);
    };
}
