/** Says what of a new configuration can change which requests are refused for good, in a few bounded fields. */
import { type ServingConfig, type ServingRoute } from "@rattanquay/schema";
import { digestKey } from "../keyDigest";

/** How many names or digests are in a list of a log line, beside its total. */
const maxListed = 20;
const maxNameLength = 100;

type Listed = { readonly total: number; readonly listed: readonly string[] };

/** Fields of a `configurationInForce` line. Changes of which there are none are undefined. */
export type ConfigurationChanges = {
    readonly version: number;
    /** The version that it replaces. */
    readonly before: number | undefined;
    readonly routes: number;
    readonly services: number;
    /** How many keys it has; undefined if requests need no key. */
    readonly keys: number | undefined;
    readonly maxBodyBytes: number;
    /** Digests, as by `digestKey`. */
    readonly keysAdded: Listed | undefined;
    readonly keysRemoved: Listed | undefined;
    /** Names. */
    readonly routesAdded: Listed | undefined;
    readonly routesRemoved: Listed | undefined;
    /** Names of routes that match other requests than before, or demand a key where they did not or the reverse. */
    readonly routesChanged: Listed | undefined;
};

/** `before` is undefined for the first configuration, of which everything is added. */
export function describeChanges(before: ServingConfig | undefined, after: ServingConfig): ConfigurationChanges {
    const keysBefore = keysOf(before);
    const keysAfter = keysOf(after);
    const routesBefore = routesByName(before);
    const routesAfter = routesByName(after);
    const changed = [...routesAfter].filter(([name, matching]) => (routesBefore.get(name) ?? matching) !== matching);
    return {
        version: after.version,
        before: before?.version,
        routes: after.routes.length,
        services: after.services.length,
        keys: after.workspaces === undefined ? undefined : keysAfter.size,
        maxBodyBytes: after.bounds.maxBodyBytes,
        keysAdded: list(missingIn(keysBefore, keysAfter), digestKey),
        keysRemoved: list(missingIn(keysAfter, keysBefore), digestKey),
        routesAdded: list(missingIn(routesBefore, routesAfter), shorten),
        routesRemoved: list(missingIn(routesAfter, routesBefore), shorten),
        routesChanged: list(changed.map(([name]) => name), shorten),
    };
}

function keysOf(config: ServingConfig | undefined): ReadonlySet<string> {
    return new Set((config?.workspaces ?? []).flatMap(({ keys }) => keys));
}

/** Maps each route's name to what decides whether it takes a request and whether that needs a key. */
function routesByName(config: ServingConfig | undefined): ReadonlyMap<string, string> {
    const matchingOf = ({ hostname, prefix, isPublic }: ServingRoute): string =>
        JSON.stringify([hostname.toLowerCase(), prefix, isPublic]);
    return new Map((config?.routes ?? []).map(route => [route.name, matchingOf(route)]));
}

/** The keys of `all` that `known` lacks. */
function missingIn(
    known: { readonly has: (key: string) => boolean },
    all: { readonly keys: () => Iterable<string> },
): readonly string[] {
    return [...all.keys()].filter(key => !known.has(key));
}

function list(items: readonly string[], toText: (item: string) => string): Listed | undefined {
    return items.length === 0 ? undefined : { total: items.length, listed: items.slice(0, maxListed).map(toText) };
}

function shorten(name: string): string {
    return name.slice(0, maxNameLength);
}
