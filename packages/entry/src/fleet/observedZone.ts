import { type Evidence, type GroupStatus, type ProbeEvidence } from "@rattanquay/core";
import { type EntryListing, type GroupRow, type Instance } from "@rattanquay/schema";
import { type KeyedRow } from "@rattanquay/table";

/** One process's view of its zone at one point in time. */
export type ObservedZone = {
    readonly instances: readonly Instance[];
    readonly entries: readonly EntryListing[];
    /** Whether this process has ever read the platform's list. */
    readonly instanceListRead: boolean;
    readonly groups: readonly GroupRow[];
    readonly groupStatuses: ReadonlyMap<string, GroupStatus>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Evidence from this process's own probes of the instances assigned to it; sent to its peers. */
    readonly probeEvidence: ReadonlyMap<string, ProbeEvidence>;
    /** Rows of the zone's partition by key, with the versions that a transaction must expect. */
    readonly rows: ReadonlyMap<string, KeyedRow>;
    /** The version of the zone head at which `rows` were read: `undefined` before the first read, -1 without a head. */
    readonly headVersion: number | undefined;
    /** The version of `groups`, which may have come from a peer; never below `headVersion`. */
    readonly groupsVersion: number | undefined;
    readonly evaluatedAtMs: number;
};

/** The version used for a zone head that was never written. */
export const unwrittenHeadVersion = -1;

export const emptyZone: ObservedZone = {
    instances: [],
    entries: [],
    instanceListRead: false,
    groups: [],
    groupStatuses: new Map(),
    evidence: new Map(),
    probeEvidence: new Map(),
    rows: new Map(),
    headVersion: undefined,
    groupsVersion: undefined,
    evaluatedAtMs: 0,
};
