/**
 * Decides how a request ends whose body was not read to its end.
 *
 * A body that is too large is refused for good only by a configuration that is known to be the newest, like an unknown key or route.
 * What has arrived of it is dropped by then, so it cannot be served even if a newer configuration allows it.
 */
import { type RouteTable } from "@rattanquay/core";
import { type CallerBody } from "@rattanquay/peer";
import { type IncomingMessage } from "node:http";
import { type CallerAnswer } from "./callerAnswer";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type DecisionBasis, type MeasuredBody } from "./finalRefusal";
import { type Refusal } from "./refusals";
import { readBasis } from "./target";

type UnreadBody = Exclude<CallerBody, { readonly kind: "read" }>;
type TooLargeBody = Extract<CallerBody, { readonly kind: "tooLarge" }>;

/** `gone`: the caller has left. */
type UnreadBodyDecision =
    | { readonly kind: "gone"; readonly basis: DecisionBasis }
    | {
        readonly kind: "refused";
        readonly basis: DecisionBasis;
        readonly refusal: Refusal;
        readonly body?: MeasuredBody;
    };

type BodyArrival = { readonly request: IncomingMessage; readonly answer: Pick<CallerAnswer, "closeConnectionAfter"> };

const refusalsByKind = { late: "bodyTimeout", busy: "busy" } as const;

/** The larger bound of the configuration on arrival and the one in force now: a body that either allows is not refused. */
export function maxBodyBytes(
    { config: { bounds } }: RouteTable,
    { clusterState }: Pick<ExchangeDependencies, "clusterState">,
): number {
    return Math.max(bounds.maxBodyBytes, clusterState.routes()?.config.bounds.maxBodyBytes ?? 0);
}

/** `basis` is the configuration by which the request was admitted. */
export async function decideUnreadBody(
    arrival: BodyArrival,
    body: UnreadBody,
    basis: DecisionBasis,
    dependencies: ExchangeDependencies,
): Promise<UnreadBodyDecision> {
    if (body.kind === "gone") {
        return { kind: "gone", basis };
    }
    return body.kind === "tooLarge"
        ? decideTooLarge(arrival, body, basis, dependencies)
        : { kind: "refused", basis, refusal: refusalsByKind[body.kind] };
}

async function decideTooLarge(
    { request, answer }: BodyArrival,
    { bytes }: TooLargeBody,
    before: DecisionBasis,
    dependencies: ExchangeDependencies,
): Promise<UnreadBodyDecision> {
    const { configurationCheck } = dependencies;
    const decide = (): UnreadBodyDecision => {
        const body = { bodyBytes: bytes, maxBodyBytes: maxBodyBytes(before.routes, dependencies) };
        const isFinal = bytes > body.maxBodyBytes && configurationCheck.isConfirmed();
        const basis = readBasis(dependencies) ?? before;
        return { kind: "refused", basis, refusal: isFinal ? "bodyTooLarge" : "unconfirmedConfiguration", body };
    };
    if (configurationCheck.isConfirmed()) {
        return decide();
    }
    if (!request.complete) {
        // The rest of the body is not read, so no other request can follow on the connection.
        answer.closeConnectionAfter();
    }
    await configurationCheck.confirm();
    // The request itself counts as destroyed once the rest of its body has been dropped.
    return request.socket.destroyed ? { kind: "gone", basis: readBasis(dependencies) ?? before } : decide();
}
