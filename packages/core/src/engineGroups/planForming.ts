/** Forms groups from free instances, preempts groups for models in greater need, and stages weights in advance. */
import { type EngineGroup, type WeightLoad } from "@rattanquay/schema";
import { chooseFormations, type Formation } from "./chooseFormations";
import { choosePreemption } from "./choosePreemption";
import { chooseStaging } from "./chooseStaging";
import { type GroupCondition } from "./evaluateEngineGroup";
import { type AddressedEngineOrder, type FleetView } from "./fleetView";
import { type PlannerMemory } from "./plannerMemory";
import { type LoadBounds } from "./weightLoadTracker";

/** How long a domain's free instances are reserved for a model while other groups are preempted for it. */
const reservationMs = 6_000;
/** Before the first request, groups are formed only once registrations pause for this long, to pack them better. */
const registrationQuietMs = 900;
/** Upper limit of that wait, counted from the first plan. */
const maxRegistrationWaitMs = 4_500;
/** Number of epochs available to one term of the lease. */
const epochsPerFence = 100_000;

/** Whether instances are still registering at the initial start, when waiting cannot delay any request. */
export function isAwaitingRegistrations(view: FleetView, memory: PlannerMemory): boolean {
    const sincePlan = view.nowMs - (memory.firstPlanAtMs ?? view.nowMs);
    return !view.hasTraffic && view.groups.length === 0
        && view.nowMs - memory.lastRegistrationAtMs < registrationQuietMs && sincePlan < maxRegistrationWaitMs;
}

export type EvaluatedGroup = { readonly group: EngineGroup; readonly condition: GroupCondition };

/** Starts to preempt groups for a model in greater need, one preemption at a time. */
export function startPreemption(view: FleetView, evaluated: readonly EvaluatedGroup[], memory: PlannerMemory): void {
    if (!view.hasTraffic || memory.reserved.size > 0) {
        return;
    }
    const serving = new Set(
        evaluated.filter(({ condition }) => condition.kind === "serving").map(({ group }) => group.group),
    );
    const preemption = choosePreemption(
        view,
        memory,
        ({ group }) => serving.has(group) && !memory.drainingSinceMs.has(group),
    );
    if (preemption !== undefined) {
        const { domain, serviceModel, groups } = preemption;
        memory.reserved.set(domain, { model: serviceModel.model.model, untilMs: view.nowMs + reservationMs });
        groups.forEach(({ group }) => memory.drainingSinceMs.set(group, view.nowMs));
    }
}

export function formGroups(view: FleetView, memory: PlannerMemory): readonly EngineGroup[] {
    const formations = chooseFormations(view, {
        mayLoad: !view.hasTraffic,
        lastModels: memory.lastModels,
        isStaging: record => memory.loads.loadingModelOf(record) !== undefined,
        reservedFor: domain => memory.reserved.get(domain)?.model,
    });
    formations.forEach(({ serviceModel, members }) => {
        const domain = members[0]!.fabricDomain ?? "";
        if (memory.reserved.get(domain)?.model === serviceModel.model.model) {
            memory.reserved.delete(domain);
        }
    });
    return formations.map(formation => makeEngineGroup(formation, view, memory));
}

function makeEngineGroup({ serviceModel, members }: Formation, view: FleetView, memory: PlannerMemory): EngineGroup {
    memory.usedEpochs++;
    const epoch = view.fence * epochsPerFence + memory.usedEpochs;
    const group = `g${epoch}`;
    memory.formedAtMs.set(group, view.nowMs);
    return {
        group,
        epoch,
        service: serviceModel.service,
        model: serviceModel.model.model,
        members: members.map(({ id, bornAtMs }) => ({ id, bornAtMs })),
    };
}

/** The weight loads that start now, and the orders for them. */
export type StagingPlan = { readonly loads: readonly WeightLoad[]; readonly orders: readonly AddressedEngineOrder[] };

export function stageWeights(view: FleetView, memory: PlannerMemory): StagingPlan {
    const chosen = chooseStaging(view, {
        allowance: view.hasTraffic ? memory.loads.allowance(loadBoundsOf(view), view.nowMs) : Infinity,
        lastModels: memory.lastModels,
        loadingModelOf: memory.loads.loadingModelOf,
    });
    const loads = chosen.map((
        { record: { id, bornAtMs }, serviceModel: { model: { model, loadMs } } },
    ): WeightLoad => ({
        id,
        bornAtMs,
        model,
        beganAtMs: view.nowMs,
        loadMs,
    }));
    loads.forEach(load => memory.loads.begin(load, view.hasTraffic));
    return {
        loads,
        orders: chosen.map(({ record, serviceModel }) => ({
            upstream: record,
            order: { kind: "stage", model: serviceModel.model.model },
        })),
    };
}

function loadBoundsOf(view: FleetView): LoadBounds {
    const engine = view.services.find(({ engine: found }) => found !== undefined)?.engine;
    return { perSecond: engine?.loadsPerSecond ?? 1, atOnce: engine?.loadsAtOnce ?? 1 };
}
