/** Reports the state of one process to operators. */
import { type GroupStatus } from "@rattanquay/core";
import { type Configuration } from "../config";
import { type ObservedZone } from "../fleet";
import { type ObservedPeers } from "../peers";
import { type ProcessContext } from "../processContext";

/**
 * The response to `GET /v1/status`. If the last evaluation is older than the maximum age of evidence, for instance
 * after a pause of the process, all groups are shown as unproved. Ages are in milliseconds on the responding process's
 * clock.
 */
export function processStatus(
    context: ProcessContext,
    configuration: Configuration,
    zone: ObservedZone,
    peers: ObservedPeers,
    control: { readonly holdsLease: boolean },
) {
    const { settings, timer } = context;
    const nowMs = timer.nowMs();
    const { snapshot } = configuration;
    const isCurrent = nowMs - zone.evaluatedAtMs <= settings.intervals.evidenceMaxAgeMs;
    const fairnessInputsOf = (group: string): GroupStatus =>
        (isCurrent ? zone.groupStatuses.get(group) : undefined) ?? { kind: "unproved", reason: "not evaluated yet" };
    return {
        process: settings.process.id,
        availabilityZone: settings.process.availabilityZone,
        holdsLease: control.holdsLease,
        config: {
            revision: snapshot.revision,
            highestTicket: snapshot.highestTicket,
            confirmedMsAgo: Math.round(nowMs - configuration.confirmedAtMs),
        },
        services: [...snapshot.services].map(([service, declared]) => ({
            service,
            kind: declared.kind,
            declared: declared.kind === "model"
                ? declared.replicas[settings.process.availabilityZone] ?? 0
                : declared.upstreams.length,
            // Upstreams of plain services are not probed, so every declared one counts as serving.
            serving: declared.kind === "plain"
                ? declared.upstreams.length
                : zone.groups.filter(group =>
                    group.service === service && fairnessInputsOf(group.group).kind === "serving"
                )
                    .length,
        })),
        groups: zone.groups.map(group => {
            const standing = fairnessInputsOf(group.group);
            return {
                group: group.group,
                service: group.service,
                version: group.version,
                fence: group.fence,
                state: group.state,
                standing: standing.kind,
                reason: "reason" in standing ? standing.reason : undefined,
                members: group.members.map(({ instance }) => {
                    const evidence = zone.evidence.get(instance);
                    return {
                        instance,
                        evidenceMsAgo: evidence === undefined ? undefined : Math.round(nowMs - evidence.sentAtMs),
                    };
                }),
            };
        }),
        instances: {
            listed: zone.instances.length,
            leaving: zone.instances.filter(instance => instance.state === "leaving").length,
        },
        peers: peers.members.map(member => ({
            process: member.process,
            availabilityZone: member.availabilityZone,
            state: member.state,
            ready: member.ready,
            hearsUs: member.hearsUs,
            revision: member.revision,
            heardMsAgo: Math.round(nowMs - member.lastHeardMs),
            serving: Object.fromEntries(peers.summaries.get(member.process) ?? []),
        })),
    };
}
