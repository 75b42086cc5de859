/** Transactions that change groups, conditional on the lease's fencing number and on the rows as they were read. */
import {
    type Condition,
    groupKey,
    type GroupRow,
    instanceKey,
    type InstanceRow,
    type KeyedRow,
    leaseKey,
    maxTransactionWrites,
    type Row,
    unchangedSince,
    type Write,
    zoneHeadKey,
} from "@rattanquay/schema";
import { type ZoneAction } from "../groups";

export type WriteContext = {
    readonly availabilityZone: string;
    readonly leaseFence: number;
    /** Returns a fencing number for one action, higher than all that the zone has issued before. */
    readonly nextFence: () => number;
    readonly rows: ReadonlyMap<string, KeyedRow>;
    /** Version of the zone head row, or -1 if there is none. */
    readonly headVersion: number;
    readonly token: string;
};

/** One transaction, and the actions that fit into it. */
export type Batch = { readonly actions: readonly ZoneAction[]; readonly writes: readonly Write[] };

/** Builds a transaction from as many of the actions, in order, as fit into it. */
export function makeBatch(actions: readonly ZoneAction[], context: WriteContext): Batch {
    const included: ZoneAction[] = [];
    const writes = [leaseCheck(context), headWrite(context)];
    for (const action of actions) {
        const actionWrites = makeWrites(action, context);
        if (writes.length + actionWrites.length > maxTransactionWrites) {
            break;
        }
        included.push(action);
        writes.push(...actionWrites);
    }
    return { actions: included, writes };
}

type Writer<K extends ZoneAction["kind"]> = (
    action: Extract<ZoneAction, { readonly kind: K }>,
    context: WriteContext,
    fence: number,
) => readonly Write[];

const writers: { readonly [K in ZoneAction["kind"]]: Writer<K> } = {
    form: (action, context, fence) => {
        const group = formedGroup(action, context.availabilityZone, fence);
        return [
            {
                kind: "put",
                at: groupKey(context.availabilityZone, group.group),
                row: makeRow(context, 1, group),
                condition: { kind: "absent" },
            },
            ...group.members.map(member => ownerWrite(context, member.instance, group.group, fence)),
        ];
    },
    drain: (action, context) => {
        const stored = storedGroup(action.group, context);
        const drained: GroupRow = { ...action.group, state: "draining" };
        const row = makeRow(context, stored.version + 1, drained);
        return [{ kind: "put", at: keyOf(stored), row, condition: unchangedSince(stored) }];
    },
    dissolve: (action, context, fence) => {
        const stored = storedGroup(action.group, context);
        return [
            { kind: "remove", at: keyOf(stored), condition: unchangedSince(stored) },
            ...action.group.members.map(member => ownerWrite(context, member.instance, undefined, fence)),
        ];
    },
};

function makeWrites(action: ZoneAction, context: WriteContext): readonly Write[] {
    const writer = writers[action.kind] as (
        action: ZoneAction,
        context: WriteContext,
        fence: number,
    ) => readonly Write[];
    return writer(action, context, context.nextFence());
}

function formedGroup(
    action: Extract<ZoneAction, { readonly kind: "form" }>,
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

function makeRow(context: WriteContext, version: number, body: unknown): Row {
    return { version, token: context.token, body };
}

function keyOf({ partition, key }: KeyedRow) {
    return { partition, key };
}

function storedGroup(group: GroupRow, context: WriteContext): KeyedRow {
    const stored = context.rows.get(`group/${group.group}`);
    if (stored === undefined) {
        throw new Error(`group ${group.group} is part of the plan, but its row was not read`);
    }
    return stored;
}

function ownerWrite(context: WriteContext, instance: string, group: string | undefined, fence: number): Write {
    const stored = context.rows.get(`instance/${instance}`);
    const owner: InstanceRow = { instance, group, fence };
    return {
        kind: "put",
        at: instanceKey(context.availabilityZone, instance),
        row: makeRow(context, (stored?.version ?? 0) + 1, owner),
        condition: unchangedSince(stored),
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
    const row = makeRow(context, Math.max(0, headVersion) + 1, {});
    return { kind: "put", at: zoneHeadKey(context.availabilityZone), row, condition };
}
