/** Makes one attempt at a plain service's upstream. */
import { detectReset, findHeadFault, hasMarkedEnd } from "@rattanquay/peer";
import { type Timer } from "@rattanquay/timer";
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { headersToCaller } from "./forwardedHeaders";

export type PlainAnswer = {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
};

export type PlainResult =
    | PlainAnswer
    /** No connection was established, so no byte of the request reached the upstream. */
    | { readonly kind: "unreached" }
    /** `fault` is what could not be read of the answer, if one came. */
    | { readonly kind: "cut"; readonly fault?: string }
    | { readonly kind: "timedOut" };

type Attempt = {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    /** The upstream may close a reused connection while the request is written; then it is unknown whether it ran. */
    readonly needsNewConnection: boolean;
    readonly connectTimeoutMs: number;
    readonly timeoutMs: number;
    readonly timer: Timer;
};

const sharedAgent = new Agent({ keepAlive: true });
/** The largest response that is buffered; a larger one ends the attempt as `cut`. */
const maxAnswerBytes = 16 * 1_024 * 1_024;

export function attemptPlain(attempt: Attempt): Promise<PlainResult> {
    const { address, method, path, headers, body, timer } = attempt;
    return new Promise(resolve => {
        let connected = false;
        let hasHead = false;
        let ended = false;
        const end = (result: PlainResult): void => {
            if (ended) {
                return;
            }
            ended = true;
            cancels.forEach(cancel => cancel());
            resolve(result);
            if (result.kind !== "answered") {
                request.destroy();
            }
        };
        const request = httpRequest(`http://${address}${path}`, {
            method,
            agent: attempt.needsNewConnection ? false : sharedAgent,
            headers: { ...headers, "content-length": body.length },
        }, response => {
            hasHead = true;
            collectResponse(response, method, end);
        });
        const cancels = [
            timer.after(attempt.timeoutMs, () => end({ kind: connected ? "timedOut" : "unreached" })),
            timer.after(attempt.connectTimeoutMs, () => {
                if (!connected) {
                    end({ kind: "unreached" });
                }
            }),
        ];
        request.on("socket", socket => {
            connected = !socket.connecting;
            socket.once("connect", () => {
                connected = true;
            });
        });
        request.on("error", () => end({ kind: connected ? "cut" : "unreached" }));
        request.on("close", () => hasHead || end({ kind: connected ? "cut" : "unreached" }));
        request.end(body);
    });
}

function collectResponse(response: IncomingMessage, method: string, end: (result: PlainResult) => void): void {
    const fault = findHeadFault(response);
    if (fault !== undefined) {
        end({ kind: "cut", fault });
        return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    response.on("data", (chunk: Buffer) => {
        size += chunk.length;
        chunks.push(chunk);
        if (size > maxAnswerBytes) {
            end({ kind: "cut" });
        }
    });
    response.on("error", () => end({ kind: "cut" }));
    response.on("close", () => response.complete || end({ kind: "cut" }));
    const wasReset = hasMarkedEnd(response, method) ? Promise.resolve(false) : detectReset(response.socket);
    response.on("end", () =>
        void wasReset.then(hasBrokenOff => {
            if (!response.complete || hasBrokenOff) {
                end({ kind: "cut" });
                return;
            }
            const { statusCode, headers } = response;
            end({
                kind: "answered",
                status: statusCode ?? 502,
                headers: headersToCaller(headers),
                body: Buffer.concat(chunks),
            });
        }));
}
