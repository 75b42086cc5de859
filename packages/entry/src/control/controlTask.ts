/** Holds the zone's control lease when it can, and while it does, plans, writes and orders. */
import {
    type Action,
    initialLease,
    type LeaseState,
    type LeaseStep,
    mayAct,
    nextLeaseStep,
    noteRead,
    noteRenewed,
    planZone,
    repairOrders,
    type Snapshot,
} from "@rattanquay/core";
import { LeaseRow } from "@rattanquay/schema";
import { type Feed, startTask } from "@rattanquay/task";
import { randomUUID } from "node:crypto";
import { type Configuration } from "../config";
import { type Fleet, noHead, type ZoneKnowledge } from "../fleet";
import { leaseKey } from "../rowKeys";
import { type Surroundings } from "../surroundings";
import { writesOf } from "./groupWrites";
import { loadOrder, sendOrder } from "./orders";

type Message = { readonly kind: "tick" };

/** Orders are sent again after this long while the evidence does not show them carried out. */
const orderRepeatMs = 1_000;
/** After draining, how long until no entry instance that can hear of it sends new work. */
const drainSettleMs = 3_000;
/** Groups formed within one lease term; the term's fencing number stands above it. */
const groupsPerTerm = 1_000_000;

export type Control = { readonly holdsLease: () => boolean; readonly stop: () => void };

export function startControl(surroundings: Surroundings, configuration: Feed<Configuration>, fleet: Fleet): Control {
    const { settings, table, timer, log, metrics } = surroundings;
    const { availabilityZone, id } = settings.process;
    const leaseMs = settings.intervals.leaseMs;
    const orderedAtMs = new Map<string, number>();
    const drainingSinceMs = new Map<string, number>();
    let lease: LeaseState = initialLease;
    let leaseVersion: number | undefined;
    let formedInTerm = 0;
    let awaitedHead = noHead;

    const options = () => ({ holder: id, leaseMs, nowMs: timer.nowMs() });

    const readLease = async (): Promise<void> => {
        const outcome = await table.read(leaseKey(availabilityZone));
        if (outcome.kind === "done") {
            leaseVersion = outcome.value?.version;
            lease = noteRead(
                lease,
                outcome.value === undefined ? undefined : LeaseRow.parse(outcome.value.body),
                timer.nowMs(),
            );
        }
    };

    const writeLease = async (step: Extract<LeaseStep, { readonly kind: "take" | "renew" }>): Promise<void> => {
        const sentAtMs = timer.nowMs();
        const condition = leaseVersion === undefined
            ? { kind: "absent" as const }
            : { kind: "versionIs" as const, version: leaseVersion };
        const row = { version: (leaseVersion ?? 0) + 1, token: randomUUID(), fence: step.row.fence, body: step.row };
        const outcome = await table.transact(
            [{ kind: "put", at: leaseKey(availabilityZone), row, condition }],
            row.token,
        );
        if (outcome.kind === "done") {
            leaseVersion = row.version;
            lease = noteRenewed(lease, step.row, sentAtMs);
            if (step.kind === "take") {
                formedInTerm = 0;
                log.info("leaseTaken", { fence: step.row.fence });
            }
            return;
        }
        await readLease();
    };

    const steps: {
        readonly [K in LeaseStep["kind"]]: (step: Extract<LeaseStep, { readonly kind: K }>) => Promise<void>;
    } = {
        wait: async () => undefined,
        read: readLease,
        take: writeLease,
        renew: writeLease,
    };

    const carryOut = async (action: Action, zone: ZoneKnowledge): Promise<boolean> => {
        const held = lease.held;
        if (held === undefined || !mayAct(lease, options())) {
            return false;
        }
        const groupFence = held.fence * groupsPerTerm + formedInTerm++;
        const token = randomUUID();
        const headVersion = zone.headVersion!;
        const context = { availabilityZone, leaseFence: held.fence, groupFence, rows: zone.rows, headVersion, token };
        const outcome = await table.transact(writesOf(action, context), token);
        const group = action.kind === "form" ? action.service : action.group.group;
        log.info("groupAction", {
            action: action.kind,
            group,
            reason: action.kind === "form" ? undefined : action.reason,
            outcome: outcome.kind,
        });
        if (outcome.kind === "done") {
            awaitedHead = Math.max(0, headVersion) + 1;
        }
        fleet.refreshGroups();
        return outcome.kind === "done";
    };

    const order = (zone: ZoneKnowledge): void => {
        for (const group of zone.groups.filter(candidate => candidate.state === "active")) {
            group.members.forEach((member, rank) => {
                const info = zone.evidence.get(member.instance)?.info;
                const carriedOut = info?.group === group.group && info.fence === group.fence;
                const key = `${group.group}/${member.instance}`;
                const due = timer.nowMs() - (orderedAtMs.get(key) ?? -Infinity) >= orderRepeatMs;
                if (!carriedOut && due && mayAct(lease, options())) {
                    orderedAtMs.set(key, timer.nowMs());
                    void sendOrder(member.address, loadOrder(group, rank));
                }
            });
        }
        const known = new Set(
            zone.groups.flatMap(group => group.members.map(member => `${group.group}/${member.instance}`)),
        );
        [...orderedAtMs.keys()].filter(key => !known.has(key)).forEach(key => orderedAtMs.delete(key));
    };

    const tick = async (): Promise<void> => {
        const step = nextLeaseStep(lease, options());
        await (steps[step.kind] as (step: LeaseStep) => Promise<void>)(step);
        metrics.leaseHeld.set(mayAct(lease, options()) ? 1 : 0);
        const zone = fleet.feed.latest();
        const { known, snapshot } = configuration.latest();
        if (!mayAct(lease, options()) || !known || zone.headVersion === undefined || zone.headVersion < awaitedHead) {
            return;
        }
        order(zone);
        noteDraining(drainingSinceMs, zone, timer.nowMs());
        const plan = planZone(
            viewOf(surroundings, zone, snapshot, drainingSinceMs),
            repairOrders[settings.policy.repair],
        );
        const first = plan[0];
        if (first !== undefined) {
            await carryOut(first, zone);
        }
    };

    const mailbox = startTask<Message>({ name: "control", handlers: { tick }, onBroken: surroundings.onBroken });
    const cancel = timer.every(settings.intervals.controlMs, () => mailbox.sendIfIdle({ kind: "tick" }));
    return {
        holdsLease: () => mayAct(lease, options()),
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}

function noteDraining(drainingSinceMs: Map<string, number>, zone: ZoneKnowledge, nowMs: number): void {
    const draining = new Set(zone.groups.filter(group => group.state === "draining").map(group => group.group));
    draining.forEach(group => drainingSinceMs.set(group, drainingSinceMs.get(group) ?? nowMs));
    [...drainingSinceMs.keys()].filter(group => !draining.has(group)).forEach(group => drainingSinceMs.delete(group));
}

function viewOf(
    surroundings: Surroundings,
    zone: ZoneKnowledge,
    snapshot: Snapshot,
    drainingSinceMs: ReadonlyMap<string, number>,
) {
    const { settings, timer } = surroundings;
    const idleGroups = zone.groups.filter(group => {
        const sinceMs = drainingSinceMs.get(group.group);
        const evidence = zone.evidence.get(group.members[0]!.instance);
        if (sinceMs === undefined || evidence === undefined) {
            return false;
        }
        const { running, waiting, ageMs } = evidence.info.load;
        return running + waiting === 0 && evidence.sentAtMs - ageMs > sinceMs + drainSettleMs;
    });
    return {
        availabilityZone: settings.process.availabilityZone,
        snapshot,
        instances: zone.instances,
        groups: zone.groups,
        standings: zone.standings,
        evidence: zone.evidence,
        idleGroups: new Set(idleGroups.map(group => group.group)),
        nowMs: timer.nowMs(),
        evidenceMaxAgeMs: settings.intervals.evidenceMaxAgeMs,
    };
}
