/**
 * Probes this process's share of the zone's instances, and any other whose shared evidence is about to get too old.
 *
 * The share falls to the same few processes wherever the same peers are known. Where that view differs, or a prober is
 * gone, evidence ages, and whoever needs it probes for itself, a bounded number at a time.
 */
import { chooseByRendezvous, type Evidence, type Finding, type Hash } from "@rattanquay/core";
import { type GroupRow, type InstanceList, type ServerInfo } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { makeProber } from "./prober";

type Options = {
    readonly process: string;
    readonly availabilityZone: string;
    readonly overlap: number;
    readonly evidenceMaxAgeMs: number;
    readonly timer: Timer;
    readonly hash: Hash;
    readonly onProbes: (cause: "share" | "ageing", count: number) => void;
    readonly onFinding: (instance: string, finding: Finding) => void;
};

type Known = {
    readonly list: InstanceList;
    readonly groups: readonly GroupRow[];
    readonly evidence: ReadonlyMap<string, Evidence>;
};

export type Probing = {
    /** Says who else probes this zone. */
    readonly setPeers: (peers: readonly string[]) => void;
    readonly probe: (known: Known) => void;
    readonly isShare: (instance: string) => boolean;
    readonly stop: () => void;
};

/** Evidence past this part of its life is refreshed by an own probe. */
const refreshAfterShare = 0.75;
const maxExtraProbes = 32;

export function makeProbing(options: Options): Probing {
    const { timer, evidenceMaxAgeMs } = options;
    const prober = makeProber({ timeoutMs: evidenceMaxAgeMs });
    const probing = new Set<string>();
    const shares = new Map<string, boolean>();
    let probers: readonly string[] = [options.process];

    const isShare = (instance: string): boolean => {
        const known = shares.get(instance);
        if (known !== undefined) {
            return known;
        }
        const share = chooseByRendezvous(instance, probers, options.overlap, options.hash).includes(options.process);
        shares.set(instance, share);
        return share;
    };

    const probeOne = async (instance: string, address: string): Promise<void> => {
        probing.add(instance);
        const sentAtMs = timer.nowMs();
        const info = await prober.probe(address);
        probing.delete(instance);
        if (info !== undefined && info.instance === instance) {
            options.onFinding(instance, { info, sentAtMs, identity: identityOf(info) });
        }
    };

    return {
        isShare,
        setPeers: peers => {
            const next = [options.process, ...peers].sort();
            if (next.join("\u0000") !== probers.join("\u0000")) {
                probers = next;
                shares.clear();
            }
        },
        probe: known => {
            const nowMs = timer.nowMs();
            const idle = [...probeTargets(known, options.availabilityZone)].filter(([name]) => !probing.has(name));
            const own = idle.filter(([instance]) => isShare(instance));
            const ageing = idle.filter(([instance]) => {
                const ageMs = nowMs - (known.evidence.get(instance)?.sentAtMs ?? -Infinity);
                return !isShare(instance) && ageMs > evidenceMaxAgeMs * refreshAfterShare;
            });
            const extra = rotate(ageing, nowMs).slice(0, maxExtraProbes);
            options.onProbes("share", own.length);
            options.onProbes("ageing", extra.length);
            [...own, ...extra].forEach(([instance, address]) => void probeOne(instance, address));
        },
        stop: () => prober.stop(),
    };
}

/** Listed instances of the zone, and members of groups that the list has dropped already. */
function probeTargets({ list, groups }: Known, availabilityZone: string): ReadonlyMap<string, string> {
    const members = groups.flatMap(group => group.members.map(member => [member.instance, member.address] as const));
    const listed = list.instances
        .filter(instance => instance.availabilityZone === availabilityZone)
        .map(instance => [instance.instance, instance.address] as const);
    return new Map([...members, ...listed]);
}

/** Begins elsewhere each time, so that a bound on the number keeps nobody waiting for ever. */
function rotate<T>(items: readonly T[], turn: number): readonly T[] {
    const start = items.length === 0 ? 0 : Math.floor(turn) % items.length;
    return [...items.slice(start), ...items.slice(0, start)];
}

function identityOf(info: ServerInfo): string {
    return JSON.stringify({ ...info, load: undefined });
}
