/** The transactions by which groups change. Each names the lease's fencing number and the rows as they stood. */
import {
    type Condition,
    groupKey,
    type GroupRow,
    instanceKey,
    type InstanceRow,
    leaseKey,
    maxTransactionWrites,
    type Row,
    type Stored,
    unchanged,
    type Write,
    zoneHeadKey,
} from "@rattanquay/schema";
import { type Action } from "../groups";

export type WriteContext = {
    readonly availabilityZone: string;
    readonly leaseFence: number;
    /** Gives each action a fencing number of its own, higher than all that the zone has given out. */
    readonly nextFence: () => number;
    readonly rows: ReadonlyMap<string, Stored>;
    /** The zone head's version; -1 while there is none. */
    readonly headVersion: number;
    readonly token: string;
};

/** One transaction, and the actions that found room in it. */
export type Batch = { readonly actions: readonly Action[]; readonly writes: readonly Write[] };

/** As many of the actions, in order, as one transaction holds. */
export function batchOf(actions: readonly Action[], context: WriteContext): Batch {
    const taken: Action[] = [];
    const writes = [leaseCheck(context), headWrite(context)];
    for (const action of actions) {
        const specific = writesOf(action, context);
        if (writes.length + specific.length > maxTransactionWrites) {
            break;
        }
        taken.push(action);
        writes.push(...specific);
    }
    return { actions: taken, writes };
}

type Writer<K extends Action["kind"]> = (
    action: Extract<Action, { readonly kind: K }>,
    context: WriteContext,
    fence: number,
) => readonly Write[];

const writers: { readonly [K in Action["kind"]]: Writer<K> } = {
    form: (action, context, fence) => {
        const group = formedGroup(action, context.availabilityZone, fence);
        return [
            {
                kind: "put",
                at: groupKey(context.availabilityZone, group.group),
                row: rowOf(context, 1, group),
                condition: { kind: "absent" },
            },
            ...group.members.map(member => ownerWrite(context, member.instance, group.group, fence)),
        ];
    },
    drain: (action, context) => {
        const stored = storedGroup(action.group, context);
        const drained: GroupRow = { ...action.group, state: "draining" };
        const row = rowOf(context, stored.version + 1, drained);
        return [{ kind: "put", at: keyOf(stored), row, condition: unchanged(stored) }];
    },
    dissolve: (action, context, fence) => {
        const stored = storedGroup(action.group, context);
        return [
            { kind: "remove", at: keyOf(stored), condition: unchanged(stored) },
            ...action.group.members.map(member => ownerWrite(context, member.instance, undefined, fence)),
        ];
    },
};

function writesOf(action: Action, context: WriteContext): readonly Write[] {
    const writer = writers[action.kind] as (action: Action, context: WriteContext, fence: number) => readonly Write[];
    return writer(action, context, context.nextFence());
}

function formedGroup(
    action: Extract<Action, { readonly kind: "form" }>,
    availabilityZone: string,
    fence: number,
): GroupRow {
    return {
        group: `${action.service}-${availabilityZone}-${fence}`,
        service: action.service,
        availabilityZone,
        fabricDomain: action.fabricDomain,
        fence,
        model: action.declared.model,
        version: action.declared.version,
        adapter: action.declared.adapter,
        state: "active",
        members: action.members.map(({ instance, address, bootId }) => ({ instance, address, bootId })),
    };
}

function rowOf(context: WriteContext, version: number, body: unknown): Row {
    return { version, token: context.token, body };
}

function keyOf({ partition, key }: Stored) {
    return { partition, key };
}

function storedGroup(group: GroupRow, context: WriteContext): Stored {
    const stored = context.rows.get(`group/${group.group}`);
    if (stored === undefined) {
        throw new Error(`planned with group ${group.group}, which was not read`);
    }
    return stored;
}

function ownerWrite(context: WriteContext, instance: string, group: string | undefined, fence: number): Write {
    const stored = context.rows.get(`instance/${instance}`);
    const owner: InstanceRow = { instance, group, fence };
    return {
        kind: "put",
        at: instanceKey(context.availabilityZone, instance),
        row: rowOf(context, (stored?.version ?? 0) + 1, owner),
        condition: unchanged(stored),
    };
}

function leaseCheck(context: WriteContext): Write {
    return {
        kind: "check",
        at: leaseKey(context.availabilityZone),
        condition: { kind: "fenceIs", fence: context.leaseFence },
    };
}

function headWrite(context: WriteContext): Write {
    const { headVersion } = context;
    const condition: Condition = headVersion < 0 ? { kind: "absent" } : { kind: "versionIs", version: headVersion };
    const row = rowOf(context, Math.max(0, headVersion) + 1, {});
    return { kind: "put", at: zoneHeadKey(context.availabilityZone), row, condition };
}
