/**
 * Describes on what a final refusal was decided: an answer that tells the caller that its request is wrong, so that
 * the caller does not repeat it. A refusal that lacks only the confirmation of the configuration is described in the same way.
 */
import { type RouteTable } from "@rattanquay/core";
import { type ServingRoute } from "@rattanquay/schema";
import { type ConfigurationEvidence, confirmedAgeMs } from "../clusterState";
import { digestKey } from "../keyDigest";

/** The configuration that decides on a request, and what was known of its age when it was read for that. */
export type DecisionBasis = {
    readonly routes: RouteTable;
    readonly evidence: ConfigurationEvidence;
    readonly readAtMs: number;
};

/** The upstream whose answer is passed on. */
export type AnswerSource = {
    readonly upstream: string;
    /** Whether the answer carries the upstream's seal. */
    readonly isSealed: boolean;
};

/** The size of a body that is too large, as announced or as far as it was read, and the bound that decided. */
export type MeasuredBody = { readonly bodyBytes: number; readonly maxBodyBytes: number };

export type FinalRefusal = {
    readonly host: string | undefined;
    readonly key: string | undefined;
    readonly route: ServingRoute | undefined;
    readonly body?: MeasuredBody;
    readonly source?: AnswerSource;
};

/** The field `decidedOn` of a `requestEnded` line. Its size is bounded. */
export type DecidedOn = ReturnType<typeof describeDecision>;

const maxHostLength = 100;
/** A configuration that was confirmed no longer ago than this counts as confirmed in the metrics. */
const confirmationMs = 1_000;

/** Whether the configuration had been confirmed within the last second when it was read. */
export function isRecentlyConfirmed({ evidence, readAtMs }: DecisionBasis): boolean {
    return confirmedAgeMs(evidence, readAtMs) <= confirmationMs;
}

/** Ages are in milliseconds, as of the time at which the configuration was read. */
export function describeDecision(
    { routes, evidence, readAtMs }: DecisionBasis,
    { host, key, route, body, source }: FinalRefusal,
) {
    const { origin, inForceSinceMs, confirmedAtMs, newestKnownVersion } = evidence;
    return {
        configVersion: routes.version,
        origin,
        ageMs: Math.round(readAtMs - inForceSinceMs),
        confirmedAgeMs: confirmedAtMs === undefined ? undefined : Math.round(readAtMs - confirmedAtMs),
        newestKnownVersion: newestKnownVersion > routes.version ? newestKnownVersion : undefined,
        host: host?.slice(0, maxHostLength),
        hasKey: key !== undefined,
        keyDigest: key === undefined ? undefined : digestKey(key),
        isKeyKnown: key === undefined ? undefined : routes.findWorkspace(key) !== undefined,
        requiresKey: routes.requiresKeys && route?.isPublic !== true,
        ...body,
        ...source,
    };
}
