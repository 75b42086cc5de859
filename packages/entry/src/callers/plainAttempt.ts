/** One attempt at a plain service's upstream. */
import { Agent, request as httpRequest } from "node:http";

export type PlainResult =
    | { readonly kind: "answered"; readonly status: number; readonly contentType: string; readonly body: string }
    /** The connection was refused: no byte of the request reached the upstream. */
    | { readonly kind: "unreached" }
    | { readonly kind: "cut" }
    | { readonly kind: "timedOut" };

type Attempt = {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** A reused connection may be closed by the upstream as the request is written, which leaves it open whether it ran. */
    readonly freshConnection: boolean;
    readonly timeoutMs: number;
};

const sharedAgent = new Agent({ keepAlive: true });

export function attemptPlain(attempt: Attempt): Promise<PlainResult> {
    return new Promise(resolve => {
        let connected = false;
        const request = httpRequest(`http://${attempt.address}${attempt.path}`, {
            method: attempt.method,
            agent: attempt.freshConnection ? false : sharedAgent,
            headers: { ...attempt.headers, "content-length": Buffer.byteLength(attempt.body) },
            signal: AbortSignal.timeout(attempt.timeoutMs),
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve({ kind: "cut" }));
            response.on("close", () => resolve({ kind: "cut" }));
            response.on("end", () => {
                if (!response.complete) {
                    resolve({ kind: "cut" });
                    return;
                }
                resolve({
                    kind: "answered",
                    status: response.statusCode ?? 502,
                    contentType: response.headers["content-type"] ?? "application/octet-stream",
                    body: Buffer.concat(chunks).toString("utf8"),
                });
            });
        });
        request.on("socket", socket => socket.once("connect", () => connected = true));
        request.on("error", (error: Error) => {
            const reached = connected || request.reusedSocket;
            resolve(
                !reached
                    ? { kind: "unreached" }
                    : { kind: error.name === "AbortError" || error.name === "TimeoutError" ? "timedOut" : "cut" },
            );
        });
        request.end(attempt.body);
    });
}
