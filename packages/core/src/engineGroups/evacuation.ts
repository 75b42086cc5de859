/** What the planner leaves alone in evacuated zones. A group's members are in one zone. */
import { type EngineGroup } from "@rattanquay/schema";
import { type GroupCondition } from "./evaluateEngineGroup";
import { type FleetView } from "./fleetView";
import { type PlannerMemory } from "./plannerMemory";

/** Whether a group is in an evacuated zone, as far as a member's record tells. */
export function isInEvacuatedZone({ members }: EngineGroup, { upstreams, evacuatedZones }: FleetView): boolean {
    return members.some(({ id }) => evacuatedZones?.has(upstreams.get(id)?.availabilityZone ?? "") === true);
}

/** The view without the instances and groups of evacuated zones, for choosing what to form, preempt and stage. */
export function outsideEvacuatedZones(view: FleetView): FleetView {
    const { evacuatedZones, upstreams, groups } = view;
    if (evacuatedZones === undefined || evacuatedZones.size === 0) {
        return view;
    }
    return {
        ...view,
        upstreams: new Map([...upstreams].filter(([, { availabilityZone }]) => !evacuatedZones.has(availabilityZone))),
        groups: groups.filter(group => !isInEvacuatedZone(group, view)),
    };
}

/**
 * Whether a group that is not open yet waits for the end of its zone's evacuation. The time in which its members have to
 * join begins anew then.
 */
export function awaitsEndOfEvacuation(
    group: EngineGroup,
    { kind }: GroupCondition,
    view: FleetView,
    memory: PlannerMemory,
): boolean {
    const isWaiting = (kind === "joining" || kind === "complete") && isInEvacuatedZone(group, view);
    if (isWaiting) {
        memory.formedAtMs.set(group.group, view.nowMs);
    }
    return isWaiting;
}
