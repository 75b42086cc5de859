/**
 * Exchanges the use that workspaces make of models that are short, with the messages about loads.
 *
 * Nothing is added to the messages while no model is short. The number of entries in a message is bounded.
 */
import { type WorkspaceCounts, type WorkspaceShares } from "@rattanquay/core";
import { type GatewayLoads } from "@rattanquay/schema";

type Entries = NonNullable<GatewayLoads["usage"]>;
type Received = { readonly atMs: number; readonly entries: Entries };

export type UsageGossip = {
    /** Fields of a message to a process of the same zone, with the sums of other zones if `withZones`. */
    readonly forSameZone: (withZones: boolean) => Pick<GatewayLoads, "usage" | "zoneUsage">;
    /** Fields of a message to a process of another zone. */
    readonly forOtherZone: () => Pick<GatewayLoads, "usage" | "zoneUsage">;
    readonly receive: (message: GatewayLoads) => void;
    /** Applies the sums; `everyMs` is the interval between messages of a process of the same zone. */
    readonly apply: (everyMs: number) => void;
};

export type UsageGossipOptions = {
    readonly availabilityZone: string;
    readonly shares: WorkspaceShares;
    readonly nowMs: () => number;
};

/** A process whose message is overdue by this long is left out of the sums. */
const overdueMs = 700;
/** Maximum age of a zone's sum, which allows for being forwarded twice on its way here. */
const zoneSumMaxAgeMs = 1_800;
/** Workspaces in the sum of one zone, and scopes in a message. */
const maxZoneEntries = 64;
const maxScopes = 16;

export function makeUsageGossip({ availabilityZone, shares, nowMs }: UsageGossipOptions): UsageGossip {
    const sameZone = new Map<string, Received>();
    const otherZones = new Map<string, Received>();
    const own = (): Entries => toEntries(shares.own(nowMs()));
    const zoneUsage = (): NonNullable<GatewayLoads["zoneUsage"]> =>
        [...otherZones].flatMap(([zone, { atMs, entries }]) => {
            const ageMs = Math.round(nowMs() - atMs);
            return ageMs < zoneSumMaxAgeMs && entries.length > 0
                ? [{ availabilityZone: zone, ageMs, usage: entries }]
                : [];
        });
    return {
        forSameZone: withZones => ({ ...field("usage", own()), ...field("zoneUsage", withZones ? zoneUsage() : []) }),
        forOtherZone: () => {
            const sums = sum([own(), ...[...sameZone.values()].map(({ entries }) => entries)]);
            const usage = toEntries(sums.slice(0, maxZoneEntries));
            const ownZone = { availabilityZone, ageMs: 0, usage };
            return field("zoneUsage", [...usage.length === 0 ? [] : [ownZone], ...zoneUsage()]);
        },
        receive: message => {
            if (message.availabilityZone === availabilityZone && message.usage !== undefined) {
                sameZone.set(message.instance, { atMs: nowMs(), entries: message.usage });
            }
            for (const { availabilityZone: zone, ageMs, usage } of message.zoneUsage ?? []) {
                const atMs = nowMs() - ageMs;
                if (zone !== availabilityZone && atMs > (otherZones.get(zone)?.atMs ?? -Infinity)) {
                    otherZones.set(zone, { atMs, entries: usage });
                }
            }
        },
        apply: everyMs => {
            removeOlder(sameZone, nowMs() - everyMs - overdueMs);
            removeOlder(otherZones, nowMs() - zoneSumMaxAgeMs);
            const received = [...sameZone.values(), ...otherZones.values()];
            shares.notePeers(sum(received.map(({ entries }) => entries)), nowMs());
        },
    };
}

/** No field without entries, so that the messages are those of earlier builds. */
function field<K extends string, V>(name: K, values: readonly V[]): { [P in K]?: V[] } {
    return (values.length === 0 ? {} : { [name]: [...values] }) as { [P in K]?: V[] };
}

/** Counts are sent in tenths, as whole numbers, which take less space. */
const tenths = 10;

function toEntries(counts: readonly WorkspaceCounts[]): Entries {
    const byScope = new Map<string, [string, number, number][]>();
    for (const { scope, workspace, asked, started } of counts) {
        const entries = byScope.get(scope) ?? [];
        entries.push([workspace, Math.round(asked * tenths), Math.round(started * tenths)]);
        byScope.set(scope, entries);
    }
    return [...byScope].slice(0, maxScopes);
}

function removeOlder(received: Map<string, Received>, thanMs: number): void {
    received.forEach(({ atMs }, key) => atMs < thanMs && received.delete(key));
}

/** The sums by scope and workspace, the largest first. */
function sum(parts: readonly Entries[]): readonly WorkspaceCounts[] {
    const sums = new Map<string, { scope: string; workspace: string; asked: number; started: number }>();
    for (const [scope, entries] of parts.flat()) {
        for (const [workspace, asked, started] of entries) {
            const key = JSON.stringify([scope, workspace]);
            const before = sums.get(key) ?? { scope, workspace, asked: 0, started: 0 };
            sums.set(key, {
                ...before,
                asked: before.asked + asked / tenths,
                started: before.started + started / tenths,
            });
        }
    }
    return [...sums.values()].sort((a, b) => b.asked - a.asked);
}
