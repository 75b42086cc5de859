/** Makes calls and records their requests and answers for the check of the history. */
import { expectedText } from "../engine";
import { type Answer, type Request } from "../history";
import { callChat, callService, type ServiceResult } from "./caller";

type Call = { readonly port: number; readonly call: string; readonly requestId: string };

export type Recorder = {
    /** A service call that may be executed at most once, with or without an `Idempotency-Key`. */
    readonly callAtMostOnce: (call: Call & { readonly key?: string }) => Promise<void>;
    /** A call to the same service that may be executed more than once. */
    readonly callRepeatable: (call: Call) => Promise<void>;
    readonly chat: (call: Call & { readonly tokens: number; readonly isStreamed: boolean }) => Promise<void>;
    readonly requests: () => readonly Request[];
    readonly answers: () => readonly Answer[];
};

export function makeRecorder(): Recorder {
    const requests: Request[] = [];
    const answers: Answer[] = [];
    const callBookings = async ({ port, call, requestId }: Call, method: string, key?: string): Promise<void> => {
        requests.push({ requestId, call, isRepeatable: method === "PUT" });
        const { outcome, body } = await callService({
            port,
            path: "/services/bookings/visits",
            method,
            body: JSON.stringify({ call }),
            requestId,
            ...(key === undefined ? {} : { idempotencyKey: key }),
        });
        answers.push({ requestId, ending: outcome, isWhole: outcome === "answered", text: body });
    };
    return {
        requests: () => requests,
        answers: () => answers,
        callAtMostOnce: call => callBookings(call, "POST", call.key),
        callRepeatable: call => callBookings(call, "PUT"),
        chat: async ({ port, call, requestId, tokens, isStreamed }) => {
            const messages = [{ role: "user", content: call }];
            const expected = expectedText(messages, tokens);
            requests.push({ requestId, call, isRepeatable: true, expectedText: expected });
            if (isStreamed) {
                const { outcome, endedCleanly, text } = await callChat({
                    port,
                    messages,
                    maxTokens: tokens,
                    requestId,
                });
                answers.push({ requestId, ending: outcome, isWhole: endedCleanly, text });
                return;
            }
            const body = JSON.stringify({ model: "assistant", messages, max_tokens: tokens });
            const result = await callService({ port, path: "/v1/chat/completions", body, requestId });
            answers.push(answerOf(requestId, result));
        },
    };
}

type Completion = { readonly choices: readonly { readonly message: { readonly content: string } }[] };

/** The answer of a chat completion that is not streamed; a refusal contains no text of it. */
function answerOf(requestId: string, { outcome, status, body }: ServiceResult): Answer {
    const isWhole = status === 200;
    const text = isWhole ? (JSON.parse(body) as Completion).choices[0]!.message.content : "";
    return { requestId, ending: outcome, isWhole, text };
}
