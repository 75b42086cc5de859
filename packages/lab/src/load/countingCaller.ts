/**
 * A caller that only counts the events of a stream without parsing them, so that it uses little processor time itself.
 */
import { Agent, request as httpRequest } from "node:http";
import { callerKey } from "../cluster/clusterSpec";

export type CountedCall = {
    readonly port: number;
    readonly model: string;
    readonly maxTokens: number;
    readonly prompt: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Called for each chunk of the answer with the number of events that begin in it. */
    readonly onEvents: (events: number) => void;
};

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
const eventStart = Buffer.from("data: ");

/** Resolves to the status when the answer has ended, and to 0 when the call failed. */
export function callCountingEvents(call: CountedCall): Promise<number> {
    const body = JSON.stringify({
        model: call.model,
        messages: [{ role: "user", content: call.prompt }],
        stream: true,
        max_tokens: call.maxTokens,
    });
    return new Promise(resolve => {
        const request = httpRequest(`http://127.0.0.1:${call.port}/v1/chat/completions`, {
            method: "POST",
            agent,
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                authorization: `Bearer ${callerKey}`,
                ...call.headers,
            },
        }, response => {
            response.on("data", (data: Buffer) => call.onEvents(countEvents(data)));
            response.on("close", () => resolve(response.statusCode ?? 0));
            response.on("error", () => resolve(0));
        });
        request.on("error", () => resolve(0));
        request.end(body);
    });
}

function countEvents(data: Buffer): number {
    let events = 0;
    for (let at = data.indexOf(eventStart); at >= 0; at = data.indexOf(eventStart, at + eventStart.length)) {
        events++;
    }
    return events;
}
