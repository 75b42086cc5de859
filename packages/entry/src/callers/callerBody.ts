/** Reads the body of a caller's request; one that cannot be read ends the request. */
import { type BodyBounds, readBody } from "@rattanquay/http";
import { type CallerError, type Settings } from "@rattanquay/schema";
import { type Surroundings } from "../surroundings";
import { type Conclusion, type Exchange, refuse } from "./exchange";

export type CallerBody =
    | { readonly kind: "read"; readonly bytes: Buffer }
    | { readonly kind: "ended"; readonly conclusion: Conclusion };

const refusals = {
    tooLarge: "bodyTooLarge",
    late: "requestTimeout",
} as const satisfies Record<string, CallerError>;

export async function readCallerBody(
    exchange: Exchange,
    { settings, timer }: Pick<Surroundings, "settings" | "timer">,
): Promise<CallerBody> {
    const body = await readBody(exchange.request, bodyBounds(settings), timer);
    if (body.kind === "read") {
        return body;
    }
    if (body.kind === "gone") {
        return { kind: "ended", conclusion: { ending: "notRun", code: "callerGone" } };
    }
    exchange.response.setHeader("connection", "close");
    return { kind: "ended", conclusion: refuse(exchange, refusals[body.kind]) };
}

export function bodyBounds({ limits }: Pick<Settings, "limits">): BodyBounds {
    return { maxBytes: limits.maxBodyBytes, timeoutMs: limits.requestReadTimeoutMs };
}
