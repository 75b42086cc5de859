/** Looks up the route, service and workspace of a request in one version of the configuration. */
import { type ServingConfig, type ServingRoute, type ServingService, type ServingWorkspace } from "@rattanquay/schema";
import { urgenciesOf } from "./urgency";

export type RouteTable = {
    readonly version: number;
    readonly config: ServingConfig;
    /** The route of the host with the longest prefix that matches the path. */
    readonly findRoute: (host: string | undefined, path: string) => ServingRoute | undefined;
    readonly findService: (name: string) => ServingService | undefined;
    readonly findWorkspace: (key: string) => ServingWorkspace | undefined;
    /** The distinct urgencies of a service's requests, the most urgent first. */
    readonly urgenciesOf: (service: string) => readonly number[];
    readonly requiresKeys: boolean;
};

/** Builds the lookup tables of one configuration, so that each request needs only a few map lookups. */
export function makeRouteTable(config: ServingConfig): RouteTable {
    const byHost = new Map<string, ServingRoute[]>();
    for (const route of config.routes) {
        const host = route.hostname.toLowerCase();
        byHost.set(host, [...byHost.get(host) ?? [], route]);
    }
    byHost.forEach(routes => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    const services = new Map(config.services.map(service => [service.service, service]));
    const urgencies = new Map(config.services.map(({ service }) => [service, urgenciesOf(config, service)]));
    const workspaces = new Map(
        (config.workspaces ?? []).flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)),
    );
    return {
        version: config.version,
        config,
        findRoute: (host, path) =>
            byHost.get(hostname(host ?? ""))?.find(route => withoutQuery(path).startsWith(route.prefix)),
        findService: name => services.get(name),
        findWorkspace: key => workspaces.get(key),
        urgenciesOf: service => urgencies.get(service) ?? [],
        requiresKeys: config.workspaces !== undefined,
    };
}

/** The lower-case host name without the port. */
function hostname(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}

function withoutQuery(target: string): string {
    const query = target.indexOf("?");
    return query < 0 ? target : target.slice(0, query);
}

/** Chooses the service for one request in proportion to the targets' weights; `random` is in [0, 1). */
export function chooseService(route: ServingRoute, random: number): string | undefined {
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    let left = random * total;
    for (const { service, weight } of route.targets) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return route.targets.at(-1)?.service;
}
