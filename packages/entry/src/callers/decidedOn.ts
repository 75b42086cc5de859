/** Describes on what a final refusal was decided: an answer that tells the caller that its request is wrong. */
import { isFinalRefusal } from "@rattanquay/core";
import { hashKey, parseBearerKey } from "../keys";
import { type Exchange } from "./exchange";

/** As many digits of a key's SHA-256 as tell the keys of one configuration apart. */
const digestLength = 8;
const maxNameLength = 100;

/**
 * The field `decidedOn` of a `requestEnded` line; undefined for other answers. Its size is bounded. Ages are in
 * milliseconds, as of the time at which the configuration was read for the request.
 */
export function describeDecision(exchange: Exchange, maxBodyBytes: number) {
    const { request, response, snapshot, configurationAge, workspace, askedFor, bodyBytes } = exchange;
    if (!isFinalRefusal(response.statusCode)) {
        return undefined;
    }
    const keyHash = hashOf(parseBearerKey(request.headers.authorization));
    return {
        configRevision: snapshot.revision,
        ...configurationAge,
        host: request.headers.host?.slice(0, maxNameLength),
        hasKey: keyHash !== undefined,
        keyDigest: keyHash?.slice(0, digestLength),
        isKeyKnown: keyHash === undefined ? undefined : snapshot.workspaceOfKey.has(keyHash),
        workspace,
        askedFor: askedFor?.slice(0, maxNameLength),
        ...bodyBytes === undefined ? {} : { bodyBytes, maxBodyBytes },
    };
}

function hashOf(key: string | undefined): string | undefined {
    return key === undefined ? undefined : hashKey(key);
}
