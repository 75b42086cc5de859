import {
    type ModelService,
    type PlainService,
    type Recall,
    type Service,
    type SubjectRow,
    type Workspace,
} from "@rattanquay/schema";

/** The whole configuration at one revision. Revisions only increase. */
export type Snapshot = {
    readonly revision: number;
    readonly highestTicket: number;
    readonly services: ReadonlyMap<string, Service>;
    readonly workspaces: ReadonlyMap<string, Workspace>;
    readonly recalls: ReadonlyMap<string, Recall>;
    /** The workspace of each key, by the key's SHA-256. */
    readonly workspaceOfKey: ReadonlyMap<string, string>;
};

export const emptySnapshot: Snapshot = {
    revision: 0,
    highestTicket: 0,
    services: new Map(),
    workspaces: new Map(),
    recalls: new Map(),
    workspaceOfKey: new Map(),
};

/** Builds a snapshot from the rows of one consistent read; tombstones (rows without a state) are skipped. */
export function buildSnapshot(
    head: { readonly revision: number; readonly highestTicket: number },
    rows: readonly SubjectRow[],
): Snapshot {
    const services = new Map<string, Service>();
    const workspaces = new Map<string, Workspace>();
    const recalls = new Map<string, Recall>();
    for (const row of rows) {
        if (row.kind === "service" && row.state !== undefined) {
            services.set(row.name, row.state);
        }
        if (row.kind === "workspace" && row.state !== undefined) {
            workspaces.set(row.name, row.state);
        }
        if (row.kind === "recall" && row.state !== undefined) {
            recalls.set(row.name, row.state);
        }
    }
    const workspaceOfKey = new Map(
        [...workspaces].flatMap(([name, { keySha256 }]) => keySha256.map(key => [key, name] as const)),
    );
    return {
        revision: head.revision,
        highestTicket: head.highestTicket,
        services,
        workspaces,
        recalls,
        workspaceOfKey,
    };
}

/**
 * Applies an accepted ticket's rows to the snapshot of the previous revision, so that the process that accepted the ticket
 * need not read the table. Any other snapshot is returned unchanged, because the revisions in between are unknown.
 */
export function applyRows(
    known: Snapshot,
    accepted: { readonly revision: number; readonly ticket: number; readonly rows: readonly SubjectRow[] },
): Snapshot {
    if (accepted.revision !== known.revision + 1) {
        return known;
    }
    const existing = [
        ...[...known.services].map(([name, state]) => ({ kind: "service" as const, name, state })),
        ...[...known.workspaces].map(([name, state]) => ({ kind: "workspace" as const, name, state })),
        ...[...known.recalls].map(([name, state]) => ({ kind: "recall" as const, name, state })),
    ];
    const touched = new Set(accepted.rows.map(row => `${row.kind}/${row.name}`));
    const kept = existing.filter(({ kind, name }) => !touched.has(`${kind}/${name}`));
    const head = {
        revision: accepted.revision,
        highestTicket: Math.max(known.highestTicket, accepted.ticket),
    };
    return buildSnapshot(head, [
        ...kept.map(row => ({ ...row, ticket: 0, revision: known.revision })),
        ...accepted.rows,
    ]);
}

/** The newer of two snapshots, so that the configuration never reverts when snapshots arrive out of order. */
export function newerSnapshot(known: Snapshot, received: Snapshot): Snapshot {
    return received.revision > known.revision ? received : known;
}

/** Whether a recall takes this instance out of service. */
export function instanceIsRecalled(snapshot: Snapshot, instance: string): boolean {
    return [...snapshot.recalls.values()].some(recall =>
        recall.kind === "instances" && recall.instances.includes(instance)
    );
}

/** Whether a recall takes this version of a model out of service. */
export function versionIsRecalled(snapshot: Snapshot, model: string, version: string): boolean {
    return [...snapshot.recalls.values()].some(recall =>
        recall.kind === "version" && recall.model === model && recall.version === version
    );
}

/** The declared services of one kind. */
export function servicesOfKind(snapshot: Snapshot, kind: "model"): readonly (readonly [string, ModelService])[];
export function servicesOfKind(snapshot: Snapshot, kind: "plain"): readonly (readonly [string, PlainService])[];
export function servicesOfKind(snapshot: Snapshot, kind: Service["kind"]): readonly (readonly [string, Service])[] {
    return [...snapshot.services].filter(([, service]) => service.kind === kind);
}
