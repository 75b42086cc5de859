/** Reports names of allowed regions that no zone is in, once each: they match nothing, which may be a misspelling. */
import { type ServingConfig } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type ClusterState } from "./clusterState";

export function reportUnknownRegions(
    clusterState: ClusterState,
    { log, settings: { regions = {} } }: Pick<GatewayContext, "log" | "settings">,
): void {
    const known = new Set(Object.values(regions));
    const reported = new Set<string>();
    clusterState.onConfiguration(() => {
        const unknown = namedRegions(clusterState.configuration()).filter(({ region }) => !known.has(region));
        for (const { region, ...names } of unknown) {
            if (!reported.has(region)) {
                reported.add(region);
                log.warn("regionUnknown", { region, ...names });
            }
        }
    });
}

function namedRegions({ routes = [], workspaces = [] }: Partial<ServingConfig> = {}) {
    return [
        ...routes.flatMap(({ name, allowedRegions = [] }) => allowedRegions.map(region => ({ region, route: name }))),
        ...workspaces.flatMap(({ workspace, allowedRegions = [] }) =>
            allowedRegions.map(region => ({ region, workspace }))
        ),
    ];
}
