/** Instances whose entries are taken out while they still answer: they are leaving without having said so. */
import { type FleetView } from "./fleetView";
import { type PlannerMemory } from "./plannerMemory";

/** How long an instance whose entry was taken out is counted as leaving rather than gone. */
const departingMs = 4_000;

/** The view with the instances that are leaving although their entries are gone already. */
export function withDeparting(view: FleetView, memory: PlannerMemory): FleetView {
    const { before, departing } = memory;
    for (const [id, record] of before?.upstreams ?? []) {
        if (!view.upstreams.has(id) && !before!.unreachable.has(id)) {
            departing.set(id, { record: { ...record, isDraining: true }, untilMs: view.nowMs + departingMs });
        }
    }
    memory.before = view;
    for (const [id, { untilMs }] of departing) {
        if (view.upstreams.has(id) || view.nowMs > untilMs) {
            departing.delete(id);
        }
    }
    const leaving = [...departing].map(([id, { record }]) => [id, record] as const);
    return leaving.length === 0 ? view : { ...view, upstreams: new Map([...view.upstreams, ...leaving]) };
}
