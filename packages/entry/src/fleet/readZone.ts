import { type KeyedRow } from "@rattanquay/table";
import { type ProcessContext } from "../processContext";
import { zoneHeadKey, zonePartition } from "../rowKeys";
import { unwrittenHeadVersion } from "./observedZone";

export type ZoneRead =
    | { readonly kind: "unchanged" }
    | { readonly kind: "unavailable" }
    | { readonly kind: "changed"; readonly headVersion: number; readonly rows: readonly KeyedRow[] };

/** Reads the zone's rows if its head has changed. If it changes again during the read, the next poll reads again. */
export async function readZone(
    { table, settings }: ProcessContext,
    knownVersion: number | undefined,
): Promise<ZoneRead> {
    const { availabilityZone } = settings.process;
    const head = await table.read(zoneHeadKey(availabilityZone));
    if (head.kind !== "done") {
        return { kind: "unavailable" };
    }
    const headVersion = head.value?.version ?? unwrittenHeadVersion;
    if (knownVersion !== undefined && headVersion <= knownVersion) {
        return { kind: "unchanged" };
    }
    const rows = await table.list(zonePartition(availabilityZone));
    const after = await table.read(zoneHeadKey(availabilityZone));
    if (rows.kind !== "done" || after.kind !== "done") {
        return { kind: "unavailable" };
    }
    return (after.value?.version ?? unwrittenHeadVersion) === headVersion
        ? { kind: "changed", headVersion, rows: rows.value }
        : { kind: "unchanged" };
}
