/** Executes the commands of the zone's control: reads and writes the table, changes groups, sends orders. */
import {
    breakUpPolicies,
    type CallContext,
    type Command,
    loadOrderPolicies,
    makeZoneControl,
    type Outcome,
    repairOrderPolicies,
    rolloutPolicies,
    spareSelectionPolicies,
    type ZoneControl,
    type ZoneState,
} from "@rattanquay/core";
import { type Settings } from "@rattanquay/schema";
import { type ObservableValue, startTask } from "@rattanquay/task";
import { randomUUID } from "node:crypto";
import { type Configuration } from "../config";
import { type Fleet, type ObservedZone } from "../fleet";
import { type ProcessContext } from "../processContext";
import { sendOrder } from "./orderSender";

type Message = { readonly kind: "tick" };

export type Control = { readonly holdsLease: () => boolean; readonly stop: () => void };

export function startControl(
    context: ProcessContext,
    configuration: ObservableValue<Configuration>,
    fleet: Fleet,
): Control {
    const { settings, timer, metrics } = context;
    const control = makeZoneControl(controlOptions(settings));
    const handleCommand = makeCommandHandler(context, control, fleet);
    const callContext = (): CallContext => ({ nowMs: timer.nowMs(), random: context.random, newToken: randomUUID });

    const executeCommands = async (commands: readonly Command[]): Promise<void> => {
        for (const command of commands) {
            const outcome = await handleCommand(command);
            if (outcome !== undefined) {
                await executeCommands(control.answered(outcome, callContext()));
            }
        }
    };
    const tick = async (): Promise<void> => {
        const zoneState = zoneStateOf(settings, configuration.latest(), fleet.feed.latest());
        await executeCommands(control.tick(zoneState, callContext()));
        metrics.leaseHeld.set(control.mayAct(timer.nowMs()) ? 1 : 0);
    };

    const mailbox = startTask<Message>({ name: "control", handlers: { tick }, onFatalError: context.onFatalError });
    const cancel = timer.every(settings.intervals.controlMs, () => mailbox.sendIfIdle({ kind: "tick" }));
    let headVersion: number | undefined;
    fleet.feed.subscribe(zone => {
        if (zone.headVersion !== headVersion) {
            headVersion = zone.headVersion;
            mailbox.sendIfIdle({ kind: "tick" });
        }
    });
    return {
        holdsLease: () => control.mayAct(timer.nowMs()),
        stop: () => {
            cancel();
            mailbox.close();
        },
    };
}

function controlOptions({ process, intervals, policy }: Settings) {
    return {
        holder: process.id,
        availabilityZone: process.availabilityZone,
        leaseMs: intervals.leaseMs,
        evidenceMaxAgeMs: intervals.evidenceMaxAgeMs,
        policies: {
            repairOrder: repairOrderPolicies[policy.repair],
            spareChoice: spareSelectionPolicies[policy.spares],
            breakUp: breakUpPolicies[policy.weakGroups],
            rollout: rolloutPolicies[policy.rollout],
            loadOrder: loadOrderPolicies[policy.loading],
        },
    };
}

/**
 * The input for planning, once the configuration and the groups are known. It is also `undefined` while the groups come
 * from a peer and this process has not read their rows, because a plan needs groups and rows of the same version.
 */
function zoneStateOf(settings: Settings, configuration: Configuration, zone: ObservedZone): ZoneState | undefined {
    if (!configuration.isKnown || zone.headVersion === undefined || zone.groupsVersion !== zone.headVersion) {
        return undefined;
    }
    const { availabilityZone } = settings.process;
    return {
        snapshot: configuration.snapshot,
        instances: zone.instances.filter(instance => instance.availabilityZone === availabilityZone),
        groups: zone.groups,
        groupStatuses: zone.groupStatuses,
        evidence: zone.evidence,
        rows: zone.rows,
        headVersion: zone.headVersion,
        evaluatedAtMs: zone.evaluatedAtMs,
        entryCount: zone.entries.filter(entry => entry.availabilityZone === availabilityZone).length,
    };
}

type CommandHandler = (command: Command) => Promise<Outcome | undefined>;

/** Has one handler for each kind of command. Changes of groups and orders check the lease immediately before acting. */
function makeCommandHandler(
    { table, timer, log, metrics }: ProcessContext,
    control: ZoneControl,
    fleet: Fleet,
): CommandHandler {
    const handlers: {
        readonly [K in Command["kind"]]: (
            command: Extract<Command, { readonly kind: K }>,
        ) => ReturnType<CommandHandler>;
    } = {
        readLease: async ({ at }) => ({ kind: "leaseRead", outcome: await table.read(at) }),
        writeLease: async ({ token, writes }) => {
            const outcome = await table.transact(writes, token);
            if (outcome.kind === "unavailable") {
                metrics.platformErrors.inc({ call: "writeLease" });
            }
            return { kind: "leaseWritten", token, outcome };
        },
        changeGroups: async ({ token, writes, actions }) => {
            if (!control.mayAct(timer.nowMs())) {
                return undefined;
            }
            const outcome = await table.transact(writes, token);
            actions.forEach(action => log.info("groupAction", { ...describeAction(action), outcome: outcome.kind }));
            fleet.refreshGroups();
            return { kind: "groupsChanged", token, outcome };
        },
        readHead: async ({ at, token }) => ({ kind: "headRead", token, outcome: await table.read(at) }),
        order: async ({ address, order }) => {
            if (control.mayAct(timer.nowMs())) {
                void sendOrder(address, order);
            }
            return undefined;
        },
    };
    return command => (handlers[command.kind] as CommandHandler)(command);
}

type GroupAction = Extract<Command, { readonly kind: "changeGroups" }>["actions"][number];

function describeAction(action: GroupAction) {
    return action.kind === "form"
        ? { action: action.kind, group: action.service, reason: undefined }
        : { action: action.kind, group: action.group.group, reason: action.reason };
}
