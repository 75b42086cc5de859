/**
 * Plans the engine groups: which to form, open, close and give up.
 *
 * A group's row is written before its first order goes out, under the lease; its name and epoch are never used again, so
 * an order that is carried out late finds either its own group or none. A group is opened only when every member itself
 * says that it is ready in it. Its members are free for another group only when its head is known to serve no more: the
 * head left it, started anew, or has been gone for longer than work at it can stand still.
 */
import { type WeightLoad } from "@rattanquay/schema";
import { withDeparting } from "./departures";
import { type AddressedEngineOrder, type FleetView, type GroupPlan, type OrderResult, strayHeads } from "./fleetView";
import { leaveStray, orderKey, stepOf } from "./groupSteps";
import { judgeEngineGroup } from "./judgeEngineGroup";
import { type Fetching, formGroups, isSettling, stageWeights, takeOver } from "./planForming";
import { beginTerm, makePlannerMemory, observe } from "./plannerMemory";

export type GroupPlanner = {
    readonly plan: (view: FleetView) => GroupPlan;
    readonly noteOrder: (addressed: AddressedEngineOrder, outcome: OrderOutcome, nowMs: number) => void;
    /** Begins a term: forgets what it remembers of orders, since others may have sent some, and goes on with their fetches. */
    readonly beginTerm: (loads: readonly WeightLoad[], nowMs: number) => void;
    /** Goes on within a term after a write that may not have been done: what it ordered last may not have gone out. */
    readonly resume: (loads: readonly WeightLoad[]) => void;
};

/** How an order fared; `witnesses` is how many processes of the instance's own zone passed it on and got no answer either. */
export type OrderOutcome = { readonly result: OrderResult; readonly witnesses: number };

export type PlannerOptions = {
    /** How long work at a dead member stands still before the group counts as broken. */
    readonly stallMs: number;
    /** The window in which the weight store's rate is judged. */
    readonly loadWindowMs: number;
};

/** Processes beside a head whose entry is gone that must get no answer from it either, for it to count as dead. */
const enoughWitnesses = 2;

const noFetching: Fetching = { loads: [], orders: [] };

export function makeGroupPlanner(options: PlannerOptions): GroupPlanner {
    const memory = makePlannerMemory(options.loadWindowMs);
    return {
        plan: seen => {
            const view = withDeparting(seen, memory);
            observe(view, memory);
            const conditions = view.groups.map(group => ({ group, condition: judgeEngineGroup(group, view) }));
            const context = { view, memory, stallMs: options.stallMs };
            const steps = conditions.map(({ group, condition }) => stepOf(group, condition, context));
            const removed = steps.flatMap(({ remove }) => remove === undefined ? [] : [remove]);
            const gone = new Set(removed.map(({ group }) => group.group));
            const after = { ...view, groups: view.groups.filter(({ group }) => !gone.has(group)) };
            takeOver(after, conditions, memory);
            const form = isSettling(after, memory) ? [] : formGroups(after, memory);
            const strays = strayHeads(view).flatMap(record => leaveStray(record, context));
            const fetching = isSettling(after, memory)
                ? noFetching
                : stageWeights({ ...after, groups: [...after.groups, ...form] }, memory);
            return {
                form,
                rewrite: steps.flatMap(({ rewrite }) => rewrite ?? []),
                remove: removed,
                loads: view.hasTraffic && fetching.loads.length > 0 ? memory.loads.rationed() : undefined,
                orders: [...steps.flatMap(({ orders }) => orders), ...strays, ...fetching.orders],
            };
        },
        noteOrder: ({ upstream, order }, { result, witnesses }, nowMs) => {
            // An instance that declines to leave a group is not in it.
            if (order.kind === "leave" && result !== "unanswered") {
                memory.released.add(order.group);
            }
            if (order.kind === "leave" && witnesses >= enoughWitnesses) {
                memory.witnessed.add(order.group);
            }
            if (order.kind === "stage" && result === "rejected") {
                memory.loads.drop(upstream);
            }
            if (result === "unanswered") {
                memory.sentAtMs.set(orderKey(upstream, order), nowMs);
            }
        },
        beginTerm: (loads, nowMs) => beginTerm(memory, loads, nowMs),
        resume: loads => {
            memory.sentAtMs.clear();
            memory.loads.restore(loads);
        },
    };
}
