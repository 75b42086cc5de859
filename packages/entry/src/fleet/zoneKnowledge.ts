import { type Evidence, type Finding, type Standing } from "@rattanquay/core";
import { type EntryPlace, type GroupRow, type Instance } from "@rattanquay/schema";
import { type Stored } from "@rattanquay/table";

/** One process's view of its zone at one point in time. */
export type ZoneKnowledge = {
    readonly instances: readonly Instance[];
    readonly entries: readonly EntryPlace[];
    /** Whether this process has ever read the platform's list. */
    readonly instanceListRead: boolean;
    readonly groups: readonly GroupRow[];
    readonly standings: ReadonlyMap<string, Standing>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** Evidence from this process's own probes of the instances assigned to it; sent to its peers. */
    readonly probeEvidence: ReadonlyMap<string, Finding>;
    /** Rows of the zone's partition by key, with the versions that a transaction must expect. */
    readonly rows: ReadonlyMap<string, Stored>;
    /** The version of the zone head at which `rows` were read: `undefined` before the first read, -1 without a head. */
    readonly headVersion: number | undefined;
    /** The version of `groups`, which may have come from a peer; never below `headVersion`. */
    readonly groupsVersion: number | undefined;
    readonly evaluatedAtMs: number;
};

/** The version used for a zone head that was never written. */
export const unwrittenHeadVersion = -1;

export const emptyZone: ZoneKnowledge = {
    instances: [],
    entries: [],
    instanceListRead: false,
    groups: [],
    standings: new Map(),
    evidence: new Map(),
    probeEvidence: new Map(),
    rows: new Map(),
    headVersion: undefined,
    groupsVersion: undefined,
    evaluatedAtMs: 0,
};
