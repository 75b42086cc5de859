/** The groups' rows in the store, as the holder of the lease knows them. */
import { type GroupPlan } from "@rattanquay/core";
import { EngineGroup } from "@rattanquay/schema";
import { type Surroundings } from "../surroundings";
import { type LeaseKeeper } from "./leaseKeeper";
import { groupTable } from "./tables";

export type GroupRows = {
    /** Undefined while it is not known what stands in the store. */
    readonly all: () => readonly EngineGroup[] | undefined;
    readonly read: () => Promise<void>;
    /** Whether the store took the plan's rows; without a clear answer they are to be read again. */
    readonly write: (plan: Pick<GroupPlan, "form" | "remove">) => Promise<boolean>;
    readonly forget: () => void;
};

export function makeGroupRows({ ports: { store }, log }: Surroundings, lease: LeaseKeeper): GroupRows {
    let groups: Map<string, EngineGroup> | undefined;
    const take = ({ form, remove }: Pick<GroupPlan, "form" | "remove">): void => {
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
    return {
        all: () => groups === undefined ? undefined : [...groups.values()],
        read: async () => {
            const outcome = await store.read(groupTable);
            if (outcome.kind !== "done") {
                return;
            }
            groups = new Map(outcome.value.flatMap(({ text }) => {
                const parsed = EngineGroup.safeParse(JSON.parse(text));
                return parsed.success ? [[parsed.data.group, parsed.data] as const] : [];
            }));
            log.info("groupsRead", { groups: groups.size, fence: lease.fence() });
        },
        write: async plan => {
            const { form, remove } = plan;
            if (form.length + remove.length === 0) {
                return true;
            }
            const outcome = await lease.writeUnder({
                expected: [],
                put: form.map(group => ({ table: groupTable, key: group.group, text: JSON.stringify(group) })),
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
