/** Whether requests may be placed with what is known of evacuations: where none are asked for, they need not be known. */
import { type GatewaySettings } from "../settings";
import { type ClusterState } from "./clusterState";

export function isEvacuationKnown({ bounds }: GatewaySettings, { evacuations }: ClusterState): boolean {
    return bounds.evacuateMs === undefined || evacuations.newest() !== undefined;
}
