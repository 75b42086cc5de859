/** Lists the replicas of a service that may be given work, in the form that the dispatcher expects. */
import { type Replica, type Snapshot } from "@rattanquay/core";
import { type GroupRow, type ModelService, type PlainService } from "@rattanquay/schema";
import { type ObservedZone } from "../fleet";

export function replicasOf(
    service: string,
    snapshot: Snapshot,
    zone: ObservedZone,
    nowMs: number,
): readonly Replica[] {
    const declared = snapshot.services.get(service);
    if (declared === undefined) {
        return [];
    }
    return declared.kind === "plain"
        ? upstreamsOf(declared)
        : zone.groups
            .filter(group => group.service === service && zone.groupStatuses.get(group.group)?.kind === "serving")
            .map(group => replicaOf(group, declared, zone, nowMs));
}

function upstreamsOf(declared: PlainService): readonly Replica[] {
    return declared.upstreams.map(({ address, availabilityZone }) => ({
        replica: address,
        address,
        availabilityZone,
        fence: 0,
        concurrency: declared.concurrency,
    }));
}

function replicaOf(group: GroupRow, declared: ModelService, zone: ObservedZone, nowMs: number): Replica {
    const evidence = zone.evidence.get(group.members[0]!.instance);
    const load = evidence?.info.load;
    return {
        replica: group.group,
        address: group.members[0]!.address,
        availabilityZone: group.availabilityZone,
        fence: group.fence,
        concurrency: declared.concurrency,
        betweenTokensMs: declared.target.betweenTokensMs,
        ...(load === undefined ? {} : { reported: { ...load, ageMs: load.ageMs + nowMs - evidence!.sentAtMs } }),
    };
}
