/** What an engine's answer other than a stream means for the request. */
import { headerNames, parseJson } from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";
import { type AttemptResult } from "./chatAttempt";

const maxRefusalBytes = 65_536;
const notRun: AttemptResult = { kind: "unreached" };
const mayHaveRun: AttemptResult = { kind: "cut" };

export function takeRefusal(response: IncomingMessage, end: (result: AttemptResult) => void): void {
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
    response.on("end", () => end(judgeRefusal(response.statusCode ?? 0, response.headers[headerNames.outcome], body)));
}

/**
 * A status alone proves nothing: a gateway in between may answer 503 for an engine that is at work. What proves that the
 * request did not run is an outcome said in so many words, or that the engine does not hold the model.
 */
function judgeRefusal(status: number, outcome: string | string[] | undefined, body: string): AttemptResult {
    if (outcome === "notRun" || (status === 404 && errorCodeOf(body) === "model_not_found")) {
        return notRun;
    }
    const isCallersFault = status >= 400 && status < 500 && status !== 429;
    return isCallersFault ? { kind: "rejected", status, body } : mayHaveRun;
}

function errorCodeOf(body: string): unknown {
    const parsed = parseJson(body)?.value as { readonly error?: { readonly code?: unknown } } | null | undefined;
    return parsed?.error?.code;
}
