/** Tracks the requests that wait for or use a replica, and replies to each with the dispatcher's decision. */
import { type Job, type LengthHint, makeDispatcher, makeLengthEstimator } from "@rattanquay/core";
import { type ObservableValue, type Reply } from "@rattanquay/task";
import { type Configuration } from "../config";
import { type ObservedZone } from "../fleet";
import { type ProcessContext } from "../processContext";
import { type AdmissionDecision, type AttemptReport, type ReplicaRequest } from "./replicaRequest";
import { replicasOf } from "./replicasOf";

export type AdmissionQueue = {
    readonly admit: (request: ReplicaRequest, reply: Reply<AdmissionDecision>) => void;
    readonly markLong: (id: string) => void;
    readonly release: (id: string, report: AttemptReport) => void;
    readonly abandon: (id: string) => void;
    readonly updateZone: (zone: ObservedZone) => void;
    readonly expire: () => void;
    readonly isEmpty: () => boolean;
};

const expiredRetryAfterMs = 1_000;

type TrackedJob = {
    readonly enginePriority: number;
    readonly reply: Reply<AdmissionDecision>;
    readonly hint: LengthHint | undefined;
};

export function makeAdmissionQueue(
    processContext: ProcessContext,
    configuration: ObservableValue<Configuration>,
): AdmissionQueue {
    const { settings, timer, random, metrics } = processContext;
    const { availabilityZone } = settings.process;
    const dispatcher = makeDispatcher({ ...settings.policy, availabilityZone });
    const lengthEstimates = makeLengthEstimator();
    const trackedJobs = new Map<string, TrackedJob>();

    const startQueued = (): void => {
        for (const { id, replica } of dispatcher.startQueued(timer.nowMs(), random)) {
            const job = trackedJobs.get(id)!;
            job.reply({ kind: "started", replica, enginePriority: job.enginePriority });
        }
    };

    const shareOf = (workspace: string): number =>
        configuration.latest().snapshot.workspaces.get(workspace)?.share ?? 1;

    const jobOf = ({ estimate, ...request }: ReplicaRequest): Job => {
        const job = { ...request, share: shareOf(request.workspace) };
        const isLong = estimate !== undefined
            && lengthEstimates.estimate({ ...estimate, workspace: request.workspace }) >= estimate.longFromTokens;
        return isLong ? { ...job, workClass: "long", startDeadlineMs: estimate.longStartByMs } : job;
    };

    const admit = (request: ReplicaRequest, reply: Reply<AdmissionDecision>): void => {
        const job = jobOf(request);
        const submission = dispatcher.submit(job, timer.nowMs(), random);
        if (submission.kind === "refused") {
            reply(submission);
            return;
        }
        const enginePriority = 2 * job.priority + (job.workClass === "short" ? 1 : 0);
        const { estimate, workspace } = request;
        const hint = estimate === undefined ? undefined : { ...estimate, workspace };
        trackedJobs.set(job.id, { enginePriority, reply, hint });
        if (submission.kind === "started") {
            reply({ ...submission, enginePriority });
        }
    };

    const release = (id: string, report: AttemptReport): void => {
        const hint = trackedJobs.get(id)?.hint;
        trackedJobs.delete(id);
        if (report.kind === "answered" && hint !== undefined) {
            lengthEstimates.observe(hint, report.tokens);
        }
        dispatcher.release(id, timer.nowMs(), report.kind === "ended" ? undefined : report);
        startQueued();
    };

    const updateZone = (zone: ObservedZone): void => {
        const { snapshot } = configuration.latest();
        const nowMs = timer.nowMs();
        dispatcher.setProcessCount(zone.entries.filter(entry => entry.availabilityZone === availabilityZone).length);
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
            trackedJobs.get(id)?.reply({ kind: "refused", code: "overloaded", retryAfterMs: expiredRetryAfterMs });
            trackedJobs.delete(id);
        }
    };

    const abandon = (id: string): void => {
        dispatcher.cancel(id);
        release(id, { kind: "ended" });
    };

    return {
        admit,
        markLong: dispatcher.reclassifyAsLong,
        release,
        abandon,
        updateZone,
        expire,
        isEmpty: () => trackedJobs.size === 0,
    };
}
