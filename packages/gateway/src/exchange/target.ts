/**
 * Checks the size of a request's head, and finds its route and workspace.
 *
 * A request that the configuration in force does not allow is refused for good only if that configuration is known to be the
 * newest: its caller never repeats it then. Otherwise it waits a moment for the answer of the store or of a relay.
 */
import { pathOfTarget } from "@rattanquay/core";
import { type ServingRoute, type ServingWorkspace } from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";
import { type CallerRequest } from "../ports";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type DecisionBasis } from "./finalRefusal";
import { countHeadBytes } from "./headSize";
import { type Refusal } from "./refusals";

export type FoundTarget = {
    readonly kind: "found";
    readonly basis: DecisionBasis;
    readonly route: ServingRoute;
    readonly workspace: ServingWorkspace | undefined;
};

type RefusedTarget = {
    readonly kind: "refused";
    readonly basis: DecisionBasis;
    readonly refusal: Refusal;
    readonly route?: ServingRoute;
    readonly measured?: MeasuredHead;
};

/** The size of a head that is over the bound, and the bound. */
export type MeasuredHead = { readonly headBytes: number; readonly maxHeadBytes: number };

/** `gone`: the caller has left while the request waited. */
export type Target = FoundTarget | RefusedTarget | { readonly kind: "gone"; readonly basis: DecisionBasis };

export type TargetRequest = { readonly request: IncomingMessage; readonly caller: CallerRequest };

/** Undefined while no configuration is in force. */
export function readBasis(
    { clusterState, context: { timer } }: Pick<ExchangeDependencies, "clusterState" | "context">,
): DecisionBasis | undefined {
    const routes = clusterState.routes();
    const evidence = clusterState.configurationEvidence();
    return routes === undefined || evidence === undefined
        ? undefined
        : { routes, evidence, readAtMs: timer.nowMs() };
}

/** Returns the target at once unless the request has to wait. `basis` is the configuration in force. */
export function findTarget(
    arrival: TargetRequest,
    basis: DecisionBasis,
    dependencies: ExchangeDependencies,
): Target | Promise<Target> {
    const target = lookUp(arrival, basis);
    return target.kind === "found" || dependencies.configurationCheck.isConfirmed()
        ? target
        : findConfirmedTarget(arrival, basis, dependencies);
}

async function findConfirmedTarget(
    arrival: TargetRequest,
    before: DecisionBasis,
    dependencies: ExchangeDependencies,
): Promise<Target> {
    const { configurationCheck } = dependencies;
    await configurationCheck.confirm();
    const basis = readBasis(dependencies) ?? before;
    if (arrival.request.destroyed) {
        return { kind: "gone", basis };
    }
    const target = lookUp(arrival, basis);
    return target.kind === "found" || configurationCheck.isConfirmed()
        ? target
        : { ...target, refusal: "unconfirmedConfiguration" };
}

function lookUp({ request, caller }: TargetRequest, basis: DecisionBasis): FoundTarget | RefusedTarget {
    const { routes } = basis;
    const measured = { headBytes: countHeadBytes(request), maxHeadBytes: routes.config.bounds.maxHeaderBytes };
    if (measured.headBytes > measured.maxHeadBytes) {
        return { kind: "refused", basis, refusal: "headTooLarge", measured };
    }
    const { host } = request.headers;
    const route = routes.findRoute(host, pathOfTarget(request.url ?? "/", host));
    if (route === undefined) {
        return { kind: "refused", basis, refusal: "unknownRoute" };
    }
    const isKeyOptional = route.isPublic || !routes.requiresKeys;
    const workspace = caller.key === undefined ? undefined : routes.findWorkspace(caller.key);
    return !isKeyOptional && workspace === undefined
        ? { kind: "refused", basis, refusal: "unknownKey", route }
        : { kind: "found", basis, route, workspace };
}
