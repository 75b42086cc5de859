/** The group rows in the store, cached by the process that holds the planning lease. */
import { type GroupPlan } from "@rattanquay/core";
import { EngineGroup, type WeightLoad, WeightLoads } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { parseRow } from "../parseRow";
import { makeRowFaults } from "../rowFaults";
import { type LeaseKeeper } from "./leaseKeeper";
import { groupTable, loadKey, loadTable } from "./tables";

export type GroupRows = {
    /** Undefined while the content of the store is not known. */
    readonly all: () => readonly EngineGroup[] | undefined;
    /**
     * Reads all rows. Resolves to the weight loads that the previous holder recorded, or undefined if the read
     * failed.
     */
    readonly read: () => Promise<readonly WeightLoad[] | undefined>;
    /** Writes the plan's rows. False if the outcome is not a clear success; the rows must then be read again. */
    readonly write: (plan: PlannedRows) => Promise<boolean>;
    /** Discards the cached rows, so that they are read again. */
    readonly invalidate: () => void;
};

export type PlannedRows = Pick<GroupPlan, "form" | "rewrite" | "remove" | "loads">;

export function makeGroupRows(context: GatewayContext, lease: LeaseKeeper): GroupRows {
    const { ports: { store }, log } = context;
    const faults = makeRowFaults(context);
    let groups: Map<string, EngineGroup> | undefined;
    const applyPlan = ({ form, rewrite, remove }: PlannedRows): void => {
        rewrite.forEach(group => groups?.set(group.group, group));
        form.forEach(group => {
            groups?.set(group.group, group);
            const { members, ...rest } = group;
            log.info("groupFormed", { ...rest, members: members.map(({ id }) => id) });
        });
        remove.forEach(({ group, reason }) => {
            groups?.delete(group.group);
            log.info("groupGivenUp", { group: group.group, model: group.model, reason });
        });
    };
    const { toStoreMs, toLocalMs } = lease.storeClock;
    const groupRow = (group: EngineGroup) => ({
        table: groupTable,
        key: group.group,
        text: JSON.stringify(convertGroup(group, toStoreMs)),
    });
    const loadRows = ({ loads }: PlannedRows) =>
        loads === undefined
            ? []
            : [{ table: loadTable, key: loadKey, text: JSON.stringify(convertLoads(loads, toStoreMs)) }];
    return {
        all: () => groups === undefined ? undefined : [...groups.values()],
        read: async () => {
            const [groupRows, loadRow] = await Promise.all([store.read(groupTable), store.read(loadTable)]);
            if (groupRows.kind !== "done" || loadRow.kind !== "done") {
                return undefined;
            }
            const found = groupRows.value.flatMap(row => faults.take(row, parseRow(EngineGroup, row)) ?? []);
            const loads = loadRow.value.flatMap(row => faults.take(row, parseRow(WeightLoads, row)) ?? []);
            groups = new Map(found.map(group => [group.group, convertGroup(group, toLocalMs)]));
            log.info("groupsRead", { groups: groups.size, loads: loads.length, fence: lease.fence() });
            return convertLoads(loads, toLocalMs);
        },
        write: async plan => {
            const { form, rewrite, remove } = plan;
            const loads = loadRows(plan);
            if (form.length + rewrite.length + remove.length + loads.length === 0) {
                return true;
            }
            const outcome = await lease.writeUnder({
                expected: [],
                put: [...[...form, ...rewrite].map(groupRow), ...loads],
                remove: remove.map(({ group }) => ({ table: groupTable, key: group.group })),
            });
            if (outcome.kind === "done") {
                applyPlan(plan);
                return true;
            }
            log.warn("groupWriteFailed", { outcome: outcome.kind, form: form.length, remove: remove.length });
            groups = undefined;
            return false;
        },
        invalidate: () => {
            groups = undefined;
        },
    };
}

type Conversion = (ms: number) => number;

function convertGroup(group: EngineGroup, convert: Conversion): EngineGroup {
    const { lostSinceMs, stalledSinceMs, ...rest } = group;
    return {
        ...rest,
        ...lostSinceMs === undefined ? {} : { lostSinceMs: convert(lostSinceMs) },
        ...stalledSinceMs === undefined ? {} : { stalledSinceMs: convert(stalledSinceMs) },
    };
}

function convertLoads(loads: readonly WeightLoad[], convert: Conversion): readonly WeightLoad[] {
    return loads.map(load => ({ ...load, beganAtMs: convert(load.beganAtMs) }));
}
