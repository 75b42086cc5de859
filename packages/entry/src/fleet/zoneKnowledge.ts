import { type Evidence, type Finding, type Standing } from "@rattanquay/core";
import { type EntryPlace, type GroupRow, type Instance } from "@rattanquay/schema";
import { type Stored } from "@rattanquay/table";

/** A zone as one process knows it at one instant. */
export type ZoneKnowledge = {
    readonly instances: readonly Instance[];
    readonly entries: readonly EntryPlace[];
    /** Whether the platform's list was ever read by this process. */
    readonly listKnown: boolean;
    readonly groups: readonly GroupRow[];
    readonly standings: ReadonlyMap<string, Standing>;
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** What this process's own probes found of the instances that are its share; passed on to its peers. */
    readonly findings: ReadonlyMap<string, Finding>;
    /** Rows of the zone's partition by key, with the versions that a transaction must name. */
    readonly rows: ReadonlyMap<string, Stored>;
    /** The zone head's version that `rows` were read at; `undefined` until then, -1 while there is none. */
    readonly headVersion: number | undefined;
    /** The version of `groups`, which a peer may have told; never below `headVersion`. */
    readonly groupsVersion: number | undefined;
    readonly judgedAtMs: number;
};

/** The version of a zone head that was never written. */
export const noHead = -1;

export const nothingKnown: ZoneKnowledge = {
    instances: [],
    entries: [],
    listKnown: false,
    groups: [],
    standings: new Map(),
    evidence: new Map(),
    findings: new Map(),
    rows: new Map(),
    headVersion: undefined,
    groupsVersion: undefined,
    judgedAtMs: 0,
};
