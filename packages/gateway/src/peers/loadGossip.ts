/**
 * Exchanges load information about upstreams between gateway processes.
 *
 * Where many processes share a group head and each has a request or two there, none of them alone knows the length of
 * the head's queue or whether the head still makes progress. Processes of a zone send each other their own requests.
 * A process of another zone gets the sum for the zone and forwards it within its own, because traffic between zones
 * is expensive. Long prompts are reported as the time for which they hold up other requests; what remains of it shrinks
 * with the age of the report.
 */
import { type GatewayLoads } from "@rattanquay/schema";
import { type UpstreamRegistry } from "../upstreams";

export type LoadGossip = {
    /** The message to a process of the same zone. */
    readonly forSameZone: () => GatewayLoads;
    /** The message to processes of the same zone when this process has sent a long prompt. */
    readonly forLongPrompt: () => GatewayLoads;
    /** The message to a process of another zone. */
    readonly forOtherZone: () => GatewayLoads;
    readonly receive: (message: GatewayLoads) => void;
    /** Applies the sums to the registry; `everyMs` is the interval between messages of a process of the same zone. */
    readonly apply: (everyMs: number) => void;
};

export type LoadGossipOptions = {
    readonly instance: string;
    readonly availabilityZone: string;
    readonly registry: UpstreamRegistry;
    readonly nowMs: () => number;
    /** The holder of the planning lease, where processes have to know it. */
    readonly knownHolder?: () => GatewayLoads["holder"];
};

type Loads = GatewayLoads["loads"];
type ReceivedLoads = { readonly atMs: number; readonly loads: Loads; readonly prefills: Loads };

/** A process whose message is overdue by this long is left out of the sums. */
const overdueMs = 700;
/** Maximum age of a zone's sum, which allows for being forwarded twice on its way here. */
const zoneSumMaxAgeMs = 1_800;
/** Older progress is not sent, because it tells no more than no progress. */
const progressMaxAgeMs = 1_000;

export function makeLoadGossip(
    { instance, availabilityZone, registry, nowMs, knownHolder = () => undefined }: LoadGossipOptions,
): LoadGossip {
    const sameZone = new Map<string, ReceivedLoads>();
    const otherZones = new Map<string, ReceivedLoads>();
    let reportedUpstreams = new Set<string>();
    let reportedPrefills = new Set<string>();
    const own = (): Loads => [...registry.localLoads()];
    const ownPrefills = (): Loads => [...registry.localPrefills(nowMs())];
    const zoneLoads = (): GatewayLoads["zoneLoads"] =>
        [...otherZones].flatMap(([zone, { atMs, loads, prefills }]) => {
            const ageMs = Math.round(nowMs() - atMs);
            return ageMs < zoneSumMaxAgeMs
                ? [{ availabilityZone: zone, ageMs, loads, ...prefillsField(prefills) }]
                : [];
        });
    const peerPrefills = (received: Iterable<ReceivedLoads>): readonly Loads[] =>
        [...received].map(report => remainingPrefills(report, nowMs()));
    const updatePrefills = (): void => {
        const sums = sum(peerPrefills([...sameZone.values(), ...otherZones.values()]));
        reportedPrefills.forEach(id => sums.has(id) || registry.get(id)?.load.prefill.notePeers(0, nowMs()));
        sums.forEach((prefillMs, id) => registry.get(id)?.load.prefill.notePeers(prefillMs, nowMs()));
        reportedPrefills = new Set(sums.keys());
    };
    const commonFields = () => {
        const holder = knownHolder();
        return {
            kind: "loads" as const,
            instance,
            availabilityZone,
            progress: registry.progress(nowMs(), progressMaxAgeMs).map(({ upstream, ageMs }): [string, number] => [
                upstream,
                ageMs,
            ]),
            ...holder === undefined ? {} : { holder },
        };
    };
    const ownZone = (): Loads => [...sum([own(), ...[...sameZone.values()].map(({ loads }) => loads)])];
    const ownZonePrefills = (): Loads => [...sum([ownPrefills(), ...peerPrefills(sameZone.values())])];
    return {
        forSameZone: () => ({
            ...commonFields(),
            loads: own(),
            ...prefillsField(ownPrefills()),
            zoneLoads: zoneLoads(),
            doubts: [...registry.doubts(nowMs())],
        }),
        forLongPrompt: () => ({
            kind: "loads",
            instance,
            availabilityZone,
            loads: own(),
            ...prefillsField(ownPrefills()),
            zoneLoads: [],
            doubts: [],
            progress: [],
        }),
        forOtherZone: () => ({
            ...commonFields(),
            loads: [],
            zoneLoads: [
                { availabilityZone, ageMs: 0, loads: ownZone(), ...prefillsField(ownZonePrefills()) },
                ...zoneLoads(),
            ],
            doubts: [],
        }),
        receive: message => {
            if (message.availabilityZone === availabilityZone) {
                const { loads, prefills = [] } = message;
                sameZone.set(message.instance, { atMs: nowMs(), loads, prefills });
            }
            for (const { availabilityZone: zone, ageMs, loads, prefills = [] } of message.zoneLoads) {
                const atMs = nowMs() - ageMs;
                if (zone !== availabilityZone && atMs > (otherZones.get(zone)?.atMs ?? -Infinity)) {
                    otherZones.set(zone, { atMs, loads, prefills });
                }
            }
            if (message.prefills !== undefined) {
                updatePrefills();
            }
            message.progress.forEach(([upstream, ageMs]) =>
                registry.get(upstream)?.load.notePeerProgress(nowMs() - ageMs)
            );
            message.doubts.forEach(id => registry.get(id)?.load.notePeerSuspicion(nowMs()));
        },
        apply: everyMs => {
            removeOlder(sameZone, nowMs() - everyMs - overdueMs);
            removeOlder(otherZones, nowMs() - zoneSumMaxAgeMs);
            const sums = sum([...sameZone.values(), ...otherZones.values()].map(({ loads }) => loads));
            reportedUpstreams.forEach(id => sums.has(id) || registry.get(id)?.load.notePeerLoad(0, nowMs()));
            sums.forEach((running, id) => registry.get(id)?.load.notePeerLoad(running, nowMs()));
            reportedUpstreams = new Set(sums.keys());
            updatePrefills();
        },
    };
}

function removeOlder(received: Map<string, ReceivedLoads>, thanMs: number): void {
    for (const [key, { atMs }] of received) {
        if (atMs < thanMs) {
            received.delete(key);
        }
    }
}

/** No field if there is nothing to report, so that the messages are those of earlier builds. */
function prefillsField(prefills: Loads): { prefills?: Loads } {
    return prefills.length === 0 ? {} : { prefills };
}

/** Prompts are prefilled one after the other, so that each report shrinks by its age. */
function remainingPrefills({ atMs, prefills }: ReceivedLoads, nowMs: number): Loads {
    return prefills.flatMap(([upstream, prefillMs]): Loads => {
        const leftMs = Math.round(prefillMs - (nowMs - atMs));
        return leftMs > 0 ? [[upstream, leftMs]] : [];
    });
}

function sum(parts: readonly Loads[]): Map<string, number> {
    const sums = new Map<string, number>();
    parts.flat().forEach(([upstream, running]) => sums.set(upstream, (sums.get(upstream) ?? 0) + running));
    return sums;
}
