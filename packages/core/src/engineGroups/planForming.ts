/** Forms groups of free instances, frees some for a model in need, and has weights fetched for the groups to come. */
import { type EngineGroup } from "@rattanquay/schema";
import { chooseFormations, type Formation } from "./chooseFormations";
import { chooseStaging } from "./chooseStaging";
import { chooseTakeover } from "./chooseTakeover";
import { type AddressedEngineOrder, type FleetView, incarnationOf } from "./fleetView";
import { joinCost } from "./joinCost";
import { type GroupCondition } from "./judgeEngineGroup";
import { type LoadLedger } from "./loadLedger";
import { type PlannerMemory } from "./plannerMemory";

/** A domain's free instances are kept for a model in need for this long, while groups are being given up for it. */
const reservationMs = 6_000;
/** Weights that have not arrived after this many times their load time are asked for again. */
const stagingPatience = 3;
/** Without traffic, forming waits until no instance has registered for this long, for better packing. */
const settleMs = 900;
const settleLimitMs = 4_500;
/** Epochs that one term of the lease can use. */
const epochsPerFence = 100_000;

/** Whether instances are still registering at the first start, when waiting costs nobody anything. */
export function isSettling(view: FleetView, memory: PlannerMemory): boolean {
    const sincePlan = view.nowMs - (memory.firstPlanAtMs ?? view.nowMs);
    return !view.hasTraffic && view.groups.length === 0
        && view.nowMs - memory.lastNewcomerAtMs < settleMs && sincePlan < settleLimitMs;
}

export type JudgedGroup = { readonly group: EngineGroup; readonly condition: GroupCondition };

/** Begins to give groups up for a model in greater need, one such step at a time. */
export function takeOver(view: FleetView, judged: readonly JudgedGroup[], memory: PlannerMemory): void {
    if (!view.hasTraffic || memory.reserved.size > 0) {
        return;
    }
    const serving = new Set(
        judged.filter(({ condition }) => condition.kind === "serving").map(({ group }) => group.group),
    );
    const takeover = chooseTakeover(
        view,
        memory,
        ({ group }) => serving.has(group) && !memory.drainingSince.has(group),
    );
    if (takeover !== undefined) {
        const { domain, offer, groups } = takeover;
        memory.reserved.set(domain, { model: offer.model.model, untilMs: view.nowMs + reservationMs });
        groups.forEach(({ group }) => memory.drainingSince.set(group, view.nowMs));
    }
}

export function formGroups(view: FleetView, memory: PlannerMemory, ledger: LoadLedger): readonly EngineGroup[] {
    const formations = chooseFormations(view, {
        mayLoad: !view.hasTraffic,
        lastModels: memory.lastModels,
        isStaging: record => memory.staging.has(incarnationOf(record)),
        reservedFor: domain => memory.reserved.get(domain)?.model,
    });
    formations.forEach(({ offer, members }) => {
        const domain = members[0]!.fabricDomain ?? "";
        if (memory.reserved.get(domain)?.model === offer.model.model) {
            memory.reserved.delete(domain);
        }
    });
    return formations.map(formation => groupOf(formation, view, memory, ledger));
}

function groupOf(
    { offer, members }: Formation,
    view: FleetView,
    memory: PlannerMemory,
    ledger: LoadLedger,
): EngineGroup {
    memory.usedEpochs++;
    const epoch = view.fence * epochsPerFence + memory.usedEpochs;
    const group = `g${epoch}`;
    memory.formedAt.set(group, view.nowMs);
    if (view.hasTraffic) {
        members
            .map(record => joinCost(record, offer, memory.lastModels))
            .filter(({ needsLoad }) => needsLoad)
            .forEach(({ ms }) => ledger.note(view.nowMs, ms));
    }
    return {
        group,
        epoch,
        service: offer.service,
        model: offer.model.model,
        members: members.map(({ id, bornAtMs }) => ({ id, bornAtMs })),
    };
}

export function stageWeights(
    view: FleetView,
    memory: PlannerMemory,
    ledger: LoadLedger,
): readonly AddressedEngineOrder[] {
    const chosen = chooseStaging(view, {
        allowance: view.hasTraffic ? ledger.allowance(view.nowMs) : Infinity,
        lastModels: memory.lastModels,
        stagingOf: record => memory.staging.get(incarnationOf(record))?.model,
    });
    return chosen.map(({ record, offer }) => {
        const { model, loadMs } = offer.model;
        memory.staging.set(incarnationOf(record), { model, untilMs: view.nowMs + loadMs * stagingPatience });
        if (view.hasTraffic) {
            ledger.note(view.nowMs, loadMs);
        }
        return { upstream: record, order: { kind: "stage", model } };
    });
}
