/**
 * Plans the engine groups: which to form, open, close and dissolve.
 *
 * A group's row is written under the lease before the group's first order is sent. Names and epochs are never reused,
 * so an order that is executed late applies to its own group or to none. A group is opened only when every member
 * itself reports that it is ready in that group. Its members can join another group only when its head certainly no
 * longer serves: the head left the group or restarted, or another member left it for longer than work can stall.
 */
import { type EngineOrder, type WeightLoad } from "@rattanquay/schema";
import { noteLeave } from "./breakUp";
import { outsideEvacuatedZones } from "./evacuation";
import { evaluateEngineGroup } from "./evaluateEngineGroup";
import {
    type AddressedEngineOrder,
    type FleetView,
    type GroupPlan,
    type OrderResult,
    orphanedHeads,
} from "./fleetView";
import { orderKey } from "./groupOrders";
import { leaveOrphanedGroup, planGroupStep } from "./groupSteps";
import { formGroups, isAwaitingRegistrations, stageWeights, type StagingPlan, startPreemption } from "./planForming";
import {
    makePlannerMemory,
    type PlannerMemory,
    recordObservations,
    resetForNewTerm,
    withDepartingInstances,
} from "./plannerMemory";

export type GroupPlanner = {
    readonly plan: (view: FleetView) => GroupPlan;
    readonly noteOrderOutcome: (addressed: AddressedEngineOrder, outcome: OrderOutcome, nowMs: number) => void;
    /**
     * Starts a term as the lease holder: forgets previously sent orders, since other holders may have sent some in the
     * meantime, and continues the weight loads that they recorded.
     */
    readonly startTerm: (loads: readonly WeightLoad[], nowMs: number) => void;
    /** Continues a term after a write with an unknown outcome: the last plan's orders may not have been sent. */
    readonly resumeTerm: (loads: readonly WeightLoad[]) => void;
};

/** `witnesses` counts the processes in the instance's own zone that forwarded the order and got no answer either. */
export type OrderOutcome = { readonly result: OrderResult; readonly witnesses: number };

export type PlannerOptions = {
    /** How long work stalls at a dead member before the group counts as broken. */
    readonly stallMs: number;
    /** The window over which the weight store's rate limit applies. */
    readonly loadWindowMs: number;
};

/** A head counts as dead only if at least this many other processes in its zone get no answer from it either. */
const requiredWitnesses = 2;

const emptyStagingPlan: StagingPlan = { loads: [], orders: [] };

export function makeGroupPlanner(options: PlannerOptions): GroupPlanner {
    const memory = makePlannerMemory(options.loadWindowMs);
    return {
        plan: currentView => {
            const view = withDepartingInstances(currentView, memory);
            recordObservations(view, memory);
            const conditions = view.groups.map(group => ({ group, condition: evaluateEngineGroup(group, view) }));
            const context = { view, memory, stallMs: options.stallMs };
            const steps = conditions.map(({ group, condition }) => planGroupStep(group, condition, context));
            const removed = steps.flatMap(({ remove }) => remove === undefined ? [] : [remove]);
            const removedNames = new Set(removed.map(({ group }) => group.group));
            const remaining = outsideEvacuatedZones({
                ...view,
                groups: view.groups.filter(({ group }) => !removedNames.has(group)),
            });
            startPreemption(remaining, conditions, memory);
            const form = isAwaitingRegistrations(remaining, memory) ? [] : formGroups(remaining, memory);
            const orphanOrders = orphanedHeads(view).flatMap(record => leaveOrphanedGroup(record, context));
            const stagingPlan = isAwaitingRegistrations(remaining, memory)
                ? emptyStagingPlan
                : stageWeights({ ...remaining, groups: [...remaining.groups, ...form] }, memory);
            return {
                form,
                rewrite: steps.flatMap(({ rewrite }) => rewrite ?? []),
                remove: removed,
                loads: view.hasTraffic && stagingPlan.loads.length > 0 ? memory.loads.rateLimited() : undefined,
                orders: [...steps.flatMap(({ orders }) => orders), ...orphanOrders, ...stagingPlan.orders],
            };
        },
        noteOrderOutcome: (addressed, { result, witnesses }, nowMs) => {
            const { upstream, order } = addressed;
            if (order.kind === "leave") {
                noteLeave(order, result !== "unanswered", memory, nowMs);
                noteWitnesses(order, witnesses, memory);
            }
            if (order.kind === "stage" && result === "rejected") {
                memory.loads.drop(upstream);
            }
            if (result === "unanswered") {
                memory.sentAtMs.set(orderKey(upstream, order), nowMs);
            }
        },
        startTerm: (loads, nowMs) => {
            resetForNewTerm(memory);
            memory.termBeganAtMs = nowMs;
            memory.loads.restore(loads);
        },
        resumeTerm: loads => {
            memory.sentAtMs.clear();
            memory.loads.restore(loads);
        },
    };
}

function noteWitnesses(
    order: EngineOrder,
    witnesses: number,
    { memberLeaves, confirmedSilentGroups }: PlannerMemory,
): void {
    if (order.kind === "leave" && !memberLeaves.has(order) && witnesses >= requiredWitnesses) {
        confirmedSilentGroups.add(order.group);
    }
}
