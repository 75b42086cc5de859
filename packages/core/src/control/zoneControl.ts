/**
 * Control of one zone by one process: the lease, the plan, the transactions and the orders.
 *
 * It emits commands and handles their outcomes. It has no clock, randomness or table of its own, so that many copies
 * can run against one table in virtual time. Callers must check `mayAct` immediately before they execute a command.
 */
import {
    type GroupRow,
    type Instance,
    type KeyedRow,
    type RowKey,
    type TableOutcome,
    type Write,
    zoneHeadKey,
} from "@rattanquay/schema";
import { type Snapshot } from "../config";
import { type Evidence, type GroupStatus } from "../evidence";
import { type LoadOrderPolicy, type PlanPolicies, planZone, type ZoneAction, type ZoneView } from "../groups";
import { makeBatch } from "./groupWrites";
import { type CallContext } from "./instant";
import { type LeaseCommand, makeLeaseKeeper } from "./leaseKeeper";
import { type AddressedOrder, planOrders } from "./orders";
import { makePresenceTracker } from "./presenceTracker";

/** The state of the zone as known to the process at one point in time. */
export type ZoneState = {
    readonly snapshot: Snapshot;
    readonly instances: readonly Instance[];
    readonly groups: readonly GroupRow[];
    readonly groupStatuses: ReadonlyMap<string, GroupStatus>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    readonly rows: ReadonlyMap<string, KeyedRow>;
    readonly headVersion: number;
    readonly evaluatedAtMs: number;
    /** Number of entry instances in this zone; they share the limit on the rate of lease reads. */
    readonly entryCount: number;
};

export type Command =
    | LeaseCommand
    | {
        readonly kind: "changeGroups";
        readonly token: string;
        readonly writes: readonly Write[];
        readonly actions: readonly ZoneAction[];
    }
    /** Resolves a change whose response was lost. */
    | { readonly kind: "readHead"; readonly at: RowKey; readonly token: string }
    | ({ readonly kind: "order" } & AddressedOrder);

/** The outcome of a command. Orders have none: only evidence shows whether they were carried out. */
export type Outcome =
    | { readonly kind: "leaseRead"; readonly outcome: TableOutcome<KeyedRow | undefined> }
    | { readonly kind: "leaseWritten"; readonly token: string; readonly outcome: TableOutcome<void> }
    | { readonly kind: "groupsChanged"; readonly token: string; readonly outcome: TableOutcome<void> }
    | { readonly kind: "headRead"; readonly token: string; readonly outcome: TableOutcome<KeyedRow | undefined> };

export type ZoneControlOptions = {
    readonly holder: string;
    readonly availabilityZone: string;
    readonly leaseMs: number;
    readonly evidenceMaxAgeMs: number;
    readonly policies: PlanPolicies & { readonly loadOrder: LoadOrderPolicy };
};

export type ZoneControl = {
    readonly mayAct: (nowMs: number) => boolean;
    /** Returns the commands to execute now; `news` is absent until the zone and the configuration are known. */
    readonly tick: (zone: ZoneState | undefined, callContext: CallContext) => readonly Command[];
    /** Handles an outcome; the returned commands are to be executed at once. */
    readonly answered: (outcome: Outcome, callContext: CallContext) => readonly Command[];
    /** The fencing number of the lease term held by this process, if any. */
    readonly fence: () => number | undefined;
};

/** Interval at which an order is sent again until evidence shows that it was carried out. */
const orderRepeatMs = 1_000;
/** Time after the start of draining by which every entry instance that can learn of it has stopped sending new work. */
const drainSettleMs = 3_000;
/** A member without fresh evidence for this long counts as lost, not just slow to respond. */
const lostAfterMs = 500;
/** A member without fresh evidence for this long is not expected to recover before another group could be loaded. */
const longLostAfterMs = 5_000;
/** Orders of a previous lease holder no longer arrive this long after the instance was released from its group. */
const ordersExpireMs = 5_000;
/** Group states evaluated longer ago than this come from a process that was paused. */
const judgementMaxAgeMs = 500;
/** Range per lease term: an action's fencing number is the term's number times this, plus the action's counter. */
const actionsPerTerm = 1_000_000;

export function makeZoneControl(options: ZoneControlOptions): ZoneControl {
    const { availabilityZone, policies } = options;
    const lease = makeLeaseKeeper(options);
    const draining = makePresenceTracker();
    const missing = makePresenceTracker();
    const unowned = makePresenceTracker();
    const orderedAtMs = new Map<string, number>();
    let term = { fence: 0, actions: 0 };
    let pending = { token: "", headVersion: 0 };
    let awaitedHeadVersion = -Infinity;

    const nextFence = (fence: number) => (): number => {
        term = term.fence === fence ? { fence, actions: term.actions + 1 } : { fence, actions: 1 };
        return fence * actionsPerTerm + term.actions;
    };

    const updateTrackers = (zone: ZoneState, nowMs: number): void => {
        const owned = new Set(zone.groups.flatMap(group => group.members.map(member => member.instance)));
        draining.note(zone.groups.filter(group => group.state === "draining").map(group => group.group), nowMs);
        unowned.note(zone.instances.map(known => known.instance).filter(name => !owned.has(name)), nowMs);
        missing.note([...owned].filter(name => isStale(zone.evidence.get(name), options, nowMs)), nowMs);
    };

    const viewOf = (zone: ZoneState, nowMs: number): ZoneView => ({
        ...zone,
        availabilityZone,
        nowMs,
        evidenceMaxAgeMs: options.evidenceMaxAgeMs,
        idleGroups: idleGroups(zone, draining.sinceMs),
        lostInstances: missing.longerThan(lostAfterMs, nowMs),
        longLostInstances: missing.longerThan(longLostAfterMs, nowMs),
        quiescentInstances: unowned.longerThan(ordersExpireMs, nowMs),
    });

    const dueOrders = (view: ZoneView, zone: ZoneState): readonly Command[] => {
        const wanted = planOrders(view, zone.rows, policies.loadOrder);
        const keyOf = ({ instance, order }: AddressedOrder): string => `${instance}/${order.kind}/${order.group}`;
        const known = new Set(wanted.map(keyOf));
        [...orderedAtMs.keys()].filter(key => !known.has(key)).forEach(key => orderedAtMs.delete(key));
        const due = wanted.filter(order => view.nowMs - (orderedAtMs.get(keyOf(order)) ?? -Infinity) >= orderRepeatMs);
        due.forEach(order => orderedAtMs.set(keyOf(order), view.nowMs));
        return due.map(order => ({ kind: "order", ...order }));
    };

    const planChanges = (view: ZoneView, zone: ZoneState, { newToken }: CallContext): readonly Command[] => {
        const leaseFence = lease.fence()!;
        const { rows, headVersion } = zone;
        const token = newToken();
        const context = {
            availabilityZone,
            leaseFence,
            nextFence: nextFence(leaseFence),
            rows,
            headVersion,
            token,
        };
        const { actions, writes } = makeBatch(planZone(view, policies), context);
        if (actions.length === 0) {
            return [];
        }
        pending = { token, headVersion: Math.max(0, headVersion) + 1 };
        return [{ kind: "changeGroups", token, writes, actions }];
    };

    const tick = (zone: ZoneState | undefined, callContext: CallContext): readonly Command[] => {
        const { nowMs } = callContext;
        if (zone !== undefined) {
            updateTrackers(zone, nowMs);
        }
        const leaseCommands = lease.commands(zone?.entryCount ?? 1, callContext);
        const isKnown = zone !== undefined
            && zone.headVersion >= awaitedHeadVersion
            && nowMs - zone.evaluatedAtMs <= judgementMaxAgeMs;
        if (!isKnown || !lease.mayAct(nowMs)) {
            return leaseCommands;
        }
        const view = viewOf(zone, nowMs);
        return [...dueOrders(view, zone), ...leaseCommands, ...planChanges(view, zone, callContext)];
    };

    const handlers: { readonly [K in Outcome["kind"]]: Handler<K> } = {
        leaseRead: ({ outcome }, { nowMs }) => {
            lease.noteRead(outcome, nowMs);
            return [];
        },
        leaseWritten: ({ token, outcome }, { nowMs }) => lease.noteWritten(token, outcome, nowMs),
        groupsChanged: ({ token, outcome }) => {
            if (outcome.kind === "done" && token === pending.token) {
                awaitedHeadVersion = pending.headVersion;
            }
            return outcome.kind === "unavailable"
                ? [{ kind: "readHead", at: zoneHeadKey(availabilityZone), token }]
                : [];
        },
        headRead: ({ token, outcome }) => {
            if (outcome.kind === "done" && outcome.value?.token === token) {
                awaitedHeadVersion = outcome.value.version;
            }
            return [];
        },
    };

    return {
        mayAct: lease.mayAct,
        tick,
        answered: (outcome, callContext) =>
            (handlers[outcome.kind] as (outcome: Outcome, callContext: CallContext) => readonly Command[])(
                outcome,
                callContext,
            ),
        fence: lease.fence,
    };
}

type Handler<K extends Outcome["kind"]> = (
    outcome: Extract<Outcome, { readonly kind: K }>,
    callContext: CallContext,
) => readonly Command[];

function isStale(evidence: Evidence | undefined, options: ZoneControlOptions, nowMs: number): boolean {
    return evidence === undefined || nowMs - evidence.sentAtMs > options.evidenceMaxAgeMs;
}

/** Draining groups whose first member reported no work at least `drainSettleMs` after draining began. */
function idleGroups(
    zone: ZoneState,
    drainingSinceMs: (group: string) => number | undefined,
): ReadonlySet<string> {
    const idle = zone.groups.filter(group => {
        const sinceMs = drainingSinceMs(group.group);
        const evidence = zone.evidence.get(group.members[0]!.instance);
        if (sinceMs === undefined || evidence === undefined) {
            return false;
        }
        const { running, waiting, ageMs } = evidence.info.load;
        return running + waiting === 0 && evidence.sentAtMs - ageMs > sinceMs + drainSettleMs;
    });
    return new Set(idle.map(group => group.group));
}
