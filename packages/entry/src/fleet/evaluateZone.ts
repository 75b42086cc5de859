import {
    evaluateGroup,
    type Evidence,
    type GroupStatus,
    instanceIsRecalled,
    type Snapshot,
    versionIsRecalled,
} from "@rattanquay/core";
import { type GroupRow, type InstanceList } from "@rattanquay/schema";
import { type ProcessContext } from "../processContext";

type ZoneInputs = {
    readonly groups: readonly GroupRow[];
    readonly evidence: ReadonlyMap<string, Evidence>;
    readonly snapshot: Snapshot;
    readonly list: InstanceList;
    readonly nowMs: number;
    readonly maxAgeMs: number;
};

/** Evaluates every group of the zone from the evidence that this process has. */
export function evaluateZone(inputs: ZoneInputs): ReadonlyMap<string, GroupStatus> {
    const { groups, evidence, snapshot, list, nowMs, maxAgeMs } = inputs;
    const leaving = new Set(
        list.instances.filter(instance => instance.state === "leaving").map(instance => instance.instance),
    );
    return new Map(groups.map(group => [
        group.group,
        evaluateGroup(group, evidence, {
            leaving,
            recalledInstances: new Set(
                group.members.map(member => member.instance).filter(instance => instanceIsRecalled(snapshot, instance)),
            ),
            versionRecalled: versionIsRecalled(snapshot, group.model, group.version),
        }, { nowMs, maxAgeMs }),
    ]));
}

export function logStatusChanges(
    { log }: ProcessContext,
    before: ReadonlyMap<string, GroupStatus>,
    after: ReadonlyMap<string, GroupStatus>,
): void {
    for (const [group, standing] of after) {
        if (before.get(group)?.kind !== standing.kind) {
            log.info("groupStanding", { group, ...standing, kind: undefined, standing: standing.kind });
        }
    }
}
