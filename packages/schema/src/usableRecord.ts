/**
 * Validates records of upstreams, from the store or from a peer, before requests are sent to these upstreams.
 *
 * Writers other than the upstreams themselves leave entries with any content. The bounds are far above what a fleet
 * holds, so that they reject only values that no upstream reports.
 */
import { z } from "zod";
import { GatewayInstance } from "./gatewayPeer";
import { GroupMembership, UpstreamRecord } from "./serving";

const maxNameLength = 256;
const maxIdLength = 200;
const maxListedModels = 1_000;
const maxSlots = 1_000_000;
const maxRank = 100_000;
const maxPort = 65_535;
const maxCores = 100_000;
/** An hour, far longer than any upstream stays cold. */
const maxColdMs = 3_600_000;

const Name = z.string().min(1).max(maxNameLength);
const Names = z.array(Name).max(maxListedModels);
/** A whole number that is exact as a JSON number. */
const Count = z.number().int().min(0);

/** An id is sent in a header: printable ASCII without spaces around it. */
const HeaderText = z.string().max(maxIdLength)
    .regex(/^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/, "no header can hold it");

/** IPv4 address and port. */
export const HostAndPort = z.string().refine(isHostAndPort, "expected an IPv4 address and a port from 1 to 65535");

/** Group membership as an upstream reports it, in its record or in a report. */
export const UsableMembership = GroupMembership.extend({ group: Name, epoch: Count, rank: Count.max(maxRank) });

const UsableRecord = UpstreamRecord.extend({
    id: HeaderText,
    service: Name,
    address: HostAndPort,
    availabilityZone: Name,
    slots: z.number().int().min(1).max(maxSlots),
    bornAtMs: Count,
    fabricDomain: z.string().max(maxNameLength).optional(),
    stagedModels: Names,
    loadedModels: Names,
    membership: UsableMembership.optional(),
    coldForMs: z.number().positive().max(maxColdMs).optional(),
});

/** What the row of a gateway process must hold for its peers to connect to it. */
export const UsableInstance = GatewayInstance.extend({
    instance: Name,
    availabilityZone: Name,
    address: HostAndPort,
    cores: z.number().positive().max(maxCores).optional(),
});

/** Result of validating a value from outside the system. */
export type Checked<T> =
    | { readonly kind: "usable"; readonly value: T }
    | { readonly kind: "unusable"; readonly reason: string };

const maxReasonLength = 200;

/** Checks `input` against `schema`. The reason names the first key at fault and holds nothing of the input. */
export function checkValue<T>(schema: z.ZodType<T>, input: unknown): Checked<T> {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return { kind: "usable", value: parsed.data };
    }
    const { path, message } = parsed.error.issues[0]!;
    const reason = path.length === 0 ? message : `${path.join(".")}: ${message}`;
    return { kind: "unusable", reason: reason.slice(0, maxReasonLength) };
}

export function checkRecord(record: UpstreamRecord): Checked<UpstreamRecord> {
    return checkValue(UsableRecord, record);
}

function isHostAndPort(address: string): boolean {
    const parts = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(address)?.slice(1);
    if (parts === undefined || parts.some(part => part.length > 1 && part.startsWith("0"))) {
        return false;
    }
    const [port, ...octets] = parts.map(Number).reverse();
    return port! >= 1 && port! <= maxPort && octets.every(octet => octet <= 255) && octets.some(octet => octet > 0);
}
