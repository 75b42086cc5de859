/** Classifies an engine's response with a status other than 200. */
import { headerNames } from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";
import { parseJson } from "./body";
import { type AttemptResult } from "./chatAttempt";

const maxRefusalBytes = 65_536;
const notRun: AttemptResult = { kind: "unreached" };
const mayHaveRun: AttemptResult = { kind: "cut" };

/** `echoedRequestId` is the id that the answerer must return; undefined if it need not. */
export function readRefusal(
    response: IncomingMessage,
    echoedRequestId: string | undefined,
    end: (result: AttemptResult) => void,
): void {
    const isProven = echoedRequestId === undefined || response.headers[headerNames.requestId] === echoedRequestId;
    let body = "";
    response.setEncoding("utf8");
    response.on("data", (text: string) => {
        body += text;
        if (body.length > maxRefusalBytes) {
            end(mayHaveRun);
        }
    });
    response.on("error", () => end(mayHaveRun));
    response.on("close", () => end(mayHaveRun));
    response.on(
        "end",
        () =>
            end(
                isProven
                    ? classifyRefusal(response.statusCode ?? 0, response.headers[headerNames.outcome], body)
                    : mayHaveRun,
            ),
    );
}

/**
 * A status alone proves nothing: a proxy in between may respond with 503 while the engine runs the request. Only the
 * outcome header `notRun`, or the error that the model is not loaded, proves that the request did not run.
 */
function classifyRefusal(status: number, outcome: string | string[] | undefined, body: string): AttemptResult {
    if (outcome === "notRun" || (status === 404 && errorCodeOf(body) === "model_not_found")) {
        return notRun;
    }
    const isClientError = status >= 400 && status < 500 && status !== 429;
    return isClientError ? { kind: "rejected", status, body } : mayHaveRun;
}

function errorCodeOf(body: string): unknown {
    const parsed = parseJson(body)?.value as { readonly error?: { readonly code?: unknown } } | null | undefined;
    return parsed?.error?.code;
}
