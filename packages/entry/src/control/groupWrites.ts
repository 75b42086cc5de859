/** The transactions by which groups change. Each names the lease's fencing number and the rows as they stood. */
import { type Action } from "@rattanquay/core";
import { type Condition, type Stored, type Write } from "@rattanquay/platform";
import { type GroupRow, type InstanceRow } from "@rattanquay/schema";
import { groupKey, instanceKey, leaseKey, zoneHeadKey } from "../rowKeys";

type Context = {
    readonly availabilityZone: string;
    readonly leaseFence: number;
    /** The new group's fencing number; grows with each group that this zone forms. */
    readonly groupFence: number;
    readonly rows: ReadonlyMap<string, Stored>;
    readonly headVersion: number;
    readonly token: string;
};

/** The writes that carry out one action. */
export function writesOf(action: Action, context: Context): readonly Write[] {
    const specific = writers[action.kind] as (action: Action, context: Context) => readonly Write[];
    return [leaseCheck(context), headWrite(context), ...specific(action, context)];
}

/** The group that a `form` action brings about. */
export function formedGroup(
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

const writers: {
    [K in Action["kind"]]: (action: Extract<Action, { readonly kind: K }>, context: Context) => readonly Write[];
} = {
    form: (action, context) => {
        const group = formedGroup(action, context.availabilityZone, context.groupFence);
        return [
            {
                kind: "put",
                at: groupKey(context.availabilityZone, group.group),
                row: row(context, 1, group),
                condition: { kind: "absent" },
            },
            ...group.members.map(member => ownerWrite(context, member.instance, group.group)),
        ];
    },
    drain: (action, context) => {
        const stored = storedGroup(action.group, context);
        const drained: GroupRow = { ...action.group, state: "draining" };
        return [{
            kind: "put",
            at: stored,
            row: row(context, stored.version + 1, drained),
            condition: versionOf(stored),
        }];
    },
    dissolve: (action, context) => {
        const stored = storedGroup(action.group, context);
        return [
            { kind: "remove", at: stored, condition: versionOf(stored) },
            ...action.group.members.map(member => ownerWrite(context, member.instance, undefined)),
        ];
    },
};

function row(context: Context, version: number, body: unknown) {
    return { version, token: context.token, body };
}

function storedGroup(group: GroupRow, context: Context): Stored {
    const stored = context.rows.get(`group/${group.group}`);
    if (stored === undefined) {
        throw new Error(`planned with group ${group.group}, which was not read`);
    }
    return stored;
}

function ownerWrite(context: Context, instance: string, group: string | undefined): Write {
    const stored = context.rows.get(`instance/${instance}`);
    const owner: InstanceRow = { instance, group, fence: context.groupFence };
    return {
        kind: "put",
        at: instanceKey(context.availabilityZone, instance),
        row: row(context, (stored?.version ?? 0) + 1, owner),
        condition: stored === undefined ? { kind: "absent" } : versionOf(stored),
    };
}

function leaseCheck(context: Context): Write {
    return {
        kind: "check",
        at: leaseKey(context.availabilityZone),
        condition: { kind: "fenceIs", fence: context.leaseFence },
    };
}

function headWrite(context: Context): Write {
    const condition: Condition = context.headVersion < 0
        ? { kind: "absent" }
        : { kind: "versionIs", version: context.headVersion };
    return {
        kind: "put",
        at: zoneHeadKey(context.availabilityZone),
        row: row(context, Math.max(0, context.headVersion) + 1, {}),
        condition,
    };
}

function versionOf(stored: Stored): Condition {
    return { kind: "versionIs", version: stored.version };
}
