/** Makes calls and keeps what was asked and what came back. */
import { expectedText } from "../engine";
import { type Answer, type Request } from "../history";
import { callChat, callService } from "./caller";

type Booking = { readonly port: number; readonly call: string; readonly requestId: string; readonly key?: string };
type Chat = { readonly port: number; readonly call: string; readonly requestId: string; readonly tokens: number };

export type Recorder = {
    /** A call that may run at most once, with or without an `Idempotency-Key`. */
    readonly book: (booking: Booking) => Promise<void>;
    readonly chat: (chat: Chat) => Promise<void>;
    readonly requests: () => readonly Request[];
    readonly answers: () => readonly Answer[];
};

export function makeRecorder(): Recorder {
    const requests: Request[] = [];
    const answers: Answer[] = [];
    return {
        requests: () => requests,
        answers: () => answers,
        book: async ({ port, call, requestId, key }) => {
            requests.push({ requestId, call, isRepeatable: false });
            const { outcome, body } = await callService({
                port,
                path: "/services/bookings/visits",
                body: JSON.stringify({ call }),
                requestId,
                ...(key === undefined ? {} : { idempotencyKey: key }),
            });
            answers.push({ requestId, ending: outcome, isWhole: outcome === "answered", text: body });
        },
        chat: async ({ port, call, requestId, tokens }) => {
            const messages = [{ role: "user", content: call }];
            const expected = expectedText(messages, tokens);
            requests.push({ requestId, call, isRepeatable: true, expectedText: expected });
            const { outcome, whole, text } = await callChat({ port, messages, maxTokens: tokens, requestId });
            answers.push({ requestId, ending: outcome, isWhole: whole, text });
        },
    };
}
