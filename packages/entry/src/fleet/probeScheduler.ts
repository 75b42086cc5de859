/**
 * Probes the instances of the zone that are assigned to this process, and others whose evidence is about to expire.
 *
 * Processes that know the same peers compute the same assignment of each instance to a few probers. If their views
 * differ, or a prober has failed, evidence gets older, and each process that needs it probes the instance itself, a
 * bounded number in each round.
 */
import { chooseByRendezvous, type Evidence, type Hash, type ProbeEvidence } from "@rattanquay/core";
import { type GroupRow, type InstanceList, type ServerInfo } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { makeProber } from "./prober";

type Options = {
    readonly process: string;
    readonly availabilityZone: string;
    readonly probersPerInstance: number;
    readonly evidenceMaxAgeMs: number;
    readonly timer: Timer;
    readonly hash: Hash;
    readonly onProbesSent: (cause: "share" | "ageing", count: number) => void;
    readonly onEvidence: (instance: string, evidence: ProbeEvidence) => void;
};

type ProbeInputs = {
    readonly list: InstanceList;
    readonly groups: readonly GroupRow[];
    readonly evidence: ReadonlyMap<string, Evidence>;
};

export type ProbeScheduler = {
    /** Sets the other processes that probe this zone. */
    readonly setPeers: (peers: readonly string[]) => void;
    readonly probe: (inputs: ProbeInputs) => void;
    /** Whether probing the instance is assigned to this process. */
    readonly isAssigned: (instance: string) => boolean;
    readonly stop: () => void;
};

/** Evidence older than this fraction of its maximum age is refreshed by an extra probe. */
const refreshAfterFraction = 0.75;
const maxExtraProbes = 32;

export function makeProbeScheduler(options: Options): ProbeScheduler {
    const { timer, evidenceMaxAgeMs } = options;
    const prober = makeProber({ timeoutMs: evidenceMaxAgeMs });
    const inFlight = new Set<string>();
    const assignments = new Map<string, boolean>();
    let probers: readonly string[] = [options.process];

    const isAssigned = (instance: string): boolean => {
        const cached = assignments.get(instance);
        if (cached !== undefined) {
            return cached;
        }
        const assigned = chooseByRendezvous(instance, probers, options.probersPerInstance, options.hash).includes(
            options.process,
        );
        assignments.set(instance, assigned);
        return assigned;
    };

    const probeOne = async (instance: string, address: string): Promise<void> => {
        inFlight.add(instance);
        const sentAtMs = timer.nowMs();
        const info = await prober.probe(address);
        inFlight.delete(instance);
        if (info !== undefined && info.instance === instance) {
            options.onEvidence(instance, { info, sentAtMs, identity: identityOf(info) });
        }
    };

    return {
        isAssigned,
        setPeers: peers => {
            const next = [options.process, ...peers].sort();
            if (next.join("\u0000") !== probers.join("\u0000")) {
                probers = next;
                assignments.clear();
            }
        },
        probe: inputs => {
            const nowMs = timer.nowMs();
            const candidates = [...probeTargets(inputs, options.availabilityZone)].filter(([name]) =>
                !inFlight.has(name)
            );
            const assigned = candidates.filter(([instance]) => isAssigned(instance));
            const ageing = candidates.filter(([instance]) => {
                const ageMs = nowMs - (inputs.evidence.get(instance)?.sentAtMs ?? -Infinity);
                return !isAssigned(instance) && ageMs > evidenceMaxAgeMs * refreshAfterFraction;
            });
            const extra = rotate(ageing, nowMs).slice(0, maxExtraProbes);
            options.onProbesSent("share", assigned.length);
            options.onProbesSent("ageing", extra.length);
            [...assigned, ...extra].forEach(([instance, address]) => void probeOne(instance, address));
        },
        stop: () => prober.stop(),
    };
}

/** The addresses of the zone's listed instances and of group members, which the list may have dropped already. */
function probeTargets({ list, groups }: ProbeInputs, availabilityZone: string): ReadonlyMap<string, string> {
    const members = groups.flatMap(group => group.members.map(member => [member.instance, member.address] as const));
    const listed = list.instances
        .filter(instance => instance.availabilityZone === availabilityZone)
        .map(instance => [instance.instance, instance.address] as const);
    return new Map([...members, ...listed]);
}

/** Starts at a different item each time, so that the limit on extra probes does not exclude any instance forever. */
function rotate<T>(items: readonly T[], offset: number): readonly T[] {
    const start = items.length === 0 ? 0 : Math.floor(offset) % items.length;
    return [...items.slice(start), ...items.slice(0, start)];
}

function identityOf(info: ServerInfo): string {
    return JSON.stringify({ ...info, load: undefined });
}
