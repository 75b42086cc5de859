/** The groups' rows in the store, as the holder of the lease knows them. */
import { type GroupPlan } from "@rattanquay/core";
import { EngineGroup, parseAs, type WeightLoad, WeightLoads } from "@rattanquay/schema";
import { type z, type ZodType } from "zod";
import { type StoredRow } from "../ports";
import { type Surroundings } from "../surroundings";
import { type LeaseKeeper } from "./leaseKeeper";
import { groupTable, loadKey, loadTable } from "./tables";

export type GroupRows = {
    /** Undefined while it is not known what stands in the store. */
    readonly all: () => readonly EngineGroup[] | undefined;
    /** Reads all rows; the fetches of weights that the holder before has written down, or undefined without an answer. */
    readonly read: () => Promise<readonly WeightLoad[] | undefined>;
    /** Whether the store took the plan's rows; without a clear answer they are to be read again. */
    readonly write: (plan: PlannedRows) => Promise<boolean>;
    readonly forget: () => void;
};

export type PlannedRows = Pick<GroupPlan, "form" | "rewrite" | "remove" | "loads">;

export function makeGroupRows({ ports: { store }, log }: Surroundings, lease: LeaseKeeper): GroupRows {
    let groups: Map<string, EngineGroup> | undefined;
    const take = ({ form, rewrite, remove }: PlannedRows): void => {
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
    const readRow = <S extends ZodType>(
        schema: S,
        { table, key, revision, text }: StoredRow,
    ): z.infer<S> | undefined => {
        const value = parseAs(schema, text);
        if (value === undefined) {
            log.warn("rowUnreadable", { table, key, revision });
        }
        return value;
    };
    const shifted = (loads: readonly WeightLoad[], byMs: number): readonly WeightLoad[] =>
        loads.map(load => ({ ...load, beganAtMs: load.beganAtMs + byMs }));
    const moved = (group: EngineGroup, byMs: number): EngineGroup =>
        group.lostSinceMs === undefined ? group : { ...group, lostSinceMs: group.lostSinceMs + byMs };
    const groupRow = (group: EngineGroup) => ({
        table: groupTable,
        key: group.group,
        text: JSON.stringify(moved(group, lease.storeClockAheadMs())),
    });
    const loadRows = ({ loads }: PlannedRows) =>
        loads === undefined
            ? []
            : [{ table: loadTable, key: loadKey, text: JSON.stringify(shifted(loads, lease.storeClockAheadMs())) }];
    return {
        all: () => groups === undefined ? undefined : [...groups.values()],
        read: async () => {
            const [groupRows, loadRow] = await Promise.all([store.read(groupTable), store.read(loadTable)]);
            if (groupRows.kind !== "done" || loadRow.kind !== "done") {
                return undefined;
            }
            const found = groupRows.value.flatMap(row => readRow(EngineGroup, row) ?? []);
            const loads = loadRow.value.flatMap(row => readRow(WeightLoads, row) ?? []);
            groups = new Map(found.map(group => [group.group, moved(group, -lease.storeClockAheadMs())]));
            log.info("groupsRead", { groups: groups.size, loads: loads.length, fence: lease.fence() });
            return shifted(loads, -lease.storeClockAheadMs());
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
                take(plan);
                return true;
            }
            log.warn("groupWriteFailed", { outcome: outcome.kind, form: form.length, remove: remove.length });
            groups = undefined;
            return false;
        },
        forget: () => {
            groups = undefined;
        },
    };
}
