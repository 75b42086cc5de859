/** Keeps who waits for a replica, asks the dispatcher, and tells each request what was decided. */
import { type Job, type LengthHint, makeDispatcher, makeLengthEstimates } from "@rattanquay/core";
import { type Feed, type Reply } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type ZoneKnowledge } from "../fleet";
import { type Surroundings } from "../surroundings";
import { type AttemptAccount, type Grant, type Wanted } from "./grant";
import { replicasOf } from "./replicasOf";

export type WaitingRoom = {
    readonly admit: (wanted: Wanted, reply: Reply<Grant>) => void;
    readonly outgrow: (id: string) => void;
    readonly release: (id: string, account: AttemptAccount) => void;
    readonly abandon: (id: string) => void;
    readonly takeZone: (zone: ZoneKnowledge) => void;
    readonly expire: () => void;
    readonly isEmpty: () => boolean;
};

const expiredRetryAfterMs = 1_000;

type Known = { readonly enginePriority: number; readonly reply: Reply<Grant>; readonly hint: LengthHint | undefined };

export function makeWaitingRoom(surroundings: Surroundings, configuration: Feed<Configuration>): WaitingRoom {
    const { settings, timer, random, metrics } = surroundings;
    const { availabilityZone } = settings.process;
    const dispatcher = makeDispatcher({ ...settings.policy, availabilityZone });
    const lengths = makeLengthEstimates();
    const known = new Map<string, Known>();

    const startQueued = (): void => {
        for (const { id, replica } of dispatcher.startQueued(timer.nowMs(), random)) {
            const job = known.get(id)!;
            job.reply({ kind: "started", replica, enginePriority: job.enginePriority });
        }
    };

    const shareOf = (workspace: string): number =>
        configuration.latest().snapshot.workspaces.get(workspace)?.share ?? 1;

    const jobOf = ({ estimate, ...wanted }: Wanted): Job => {
        const job = { ...wanted, share: shareOf(wanted.workspace) };
        const isLong = estimate !== undefined
            && lengths.expect({ ...estimate, workspace: wanted.workspace }) >= estimate.longFromTokens;
        return isLong ? { ...job, workClass: "long", startByMs: estimate.longStartByMs } : job;
    };

    const admit = (wanted: Wanted, reply: Reply<Grant>): void => {
        const job = jobOf(wanted);
        const submission = dispatcher.submit(job, timer.nowMs(), random);
        if (submission.kind === "refused") {
            reply(submission);
            return;
        }
        const enginePriority = 2 * job.priority + (job.workClass === "short" ? 1 : 0);
        const { estimate, workspace } = wanted;
        const hint = estimate === undefined ? undefined : { ...estimate, workspace };
        known.set(job.id, { enginePriority, reply, hint });
        if (submission.kind === "started") {
            reply({ ...submission, enginePriority });
        }
    };

    const release = (id: string, account: AttemptAccount): void => {
        const hint = known.get(id)?.hint;
        known.delete(id);
        if (account.kind === "answered" && hint !== undefined) {
            lengths.learn(hint, account.tokens);
        }
        dispatcher.release(id, timer.nowMs(), account.kind === "ended" ? undefined : account);
        startQueued();
    };

    const takeZone = (zone: ZoneKnowledge): void => {
        const { snapshot } = configuration.latest();
        const nowMs = timer.nowMs();
        dispatcher.setPeers(zone.entries.filter(entry => entry.availabilityZone === availabilityZone).length);
        for (const service of snapshot.services.keys()) {
            const replicas = replicasOf(service, snapshot, zone, nowMs);
            dispatcher.setReplicas(service, replicas, nowMs);
            metrics.replicas.set({ service, state: "serving" }, replicas.length);
            metrics.queued.set({ service }, dispatcher.queuedOf(service));
            for (const [state, count] of Object.entries(dispatcher.usageOf(service, nowMs))) {
                metrics.places.set({ service, state }, count);
            }
        }
        startQueued();
    };

    const expire = (): void => {
        for (const id of dispatcher.expire(timer.nowMs())) {
            known.get(id)?.reply({ kind: "refused", code: "overloaded", retryAfterMs: expiredRetryAfterMs });
            known.delete(id);
        }
    };

    const abandon = (id: string): void => {
        dispatcher.abandon(id);
        release(id, { kind: "ended" });
    };

    return { admit, outgrow: dispatcher.outgrow, release, abandon, takeZone, expire, isEmpty: () => known.size === 0 };
}
