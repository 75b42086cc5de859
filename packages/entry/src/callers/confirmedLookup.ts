/**
 * Looks up what a request names in the configuration. What is missing there may be refused for good only if the table has
 * confirmed lately that there is no newer configuration: callers don't repeat a request after 401, 403 or 404.
 */
import { mayRefuseFinally, type Snapshot } from "@rattanquay/core";
import { type CallerError } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type Configuration } from "../config";
import { type HandlerContext } from "./callerListener";
import { ageOf, type Exchange, type RequestOutcome, sendError } from "./exchange";

export type Lookup<T> =
    | { readonly kind: "found"; readonly value: T }
    | { readonly kind: "missing"; readonly isConfirmed: boolean };

const retryAfterMs = 1_000;

/** Looks it up again, in the newest configuration, if it is missing in one that has to be confirmed first. */
export async function lookUp<T>(
    exchange: Exchange,
    { configuration, processContext: { timer } }: HandlerContext,
    find: (snapshot: Snapshot) => T | undefined,
): Promise<Lookup<T>> {
    const known = find(exchange.snapshot);
    if (known !== undefined) {
        return { kind: "found", value: known };
    }
    if (!isConfirmed(configuration.feed.latest(), timer)) {
        await configuration.confirm();
    }
    const latest = configuration.feed.latest();
    exchange.snapshot = latest.snapshot;
    exchange.configurationAge = ageOf(latest, timer.nowMs());
    const value = find(latest.snapshot);
    return value === undefined
        ? { kind: "missing", isConfirmed: isConfirmed(latest, timer) }
        : { kind: "found", value };
}

/** Refuses a request for what is missing: with `code` if that is final. */
export function refuseMissing(
    exchange: Exchange,
    { isConfirmed: isFinal }: Extract<Lookup<unknown>, { kind: "missing" }>,
    code: CallerError,
    detail?: string,
): RequestOutcome {
    return isFinal
        ? sendError(exchange, code, { detail })
        : sendError(exchange, "unconfirmedConfiguration", { retryAfterMs });
}

/** Finds whether a service is assigned to a workspace. */
export function findAssignment(workspace: string, service: string): (snapshot: Snapshot) => true | undefined {
    return ({ workspaces }) => workspaces.get(workspace)?.services.includes(service) === true ? true : undefined;
}

function isConfirmed({ snapshot, confirmedByTable, confirmedAtMs }: Configuration, timer: Timer): boolean {
    const currency = {
        version: snapshot.revision,
        newestKnownVersion: snapshot.revision,
        confirmedAtMs: confirmedByTable ? confirmedAtMs : undefined,
    };
    return mayRefuseFinally(currency, timer.nowMs());
}
