/** Converts a configuration snapshot to and from the form in which peers send it. */
import { type SnapshotMessage } from "@rattanquay/schema";
import { buildSnapshot, type Snapshot } from "../config";

export function encodeSnapshot(snapshot: Snapshot): SnapshotMessage {
    const named = <T>(states: ReadonlyMap<string, T>) => [...states].map(([name, state]) => ({ name, state }));
    return {
        revision: snapshot.revision,
        highestTicket: snapshot.highestTicket,
        services: named(snapshot.services),
        workspaces: named(snapshot.workspaces),
        recalls: named(snapshot.recalls),
    };
}

export function decodeSnapshot(passed: SnapshotMessage): Snapshot {
    const { revision, highestTicket } = passed;
    const rowOrigin = { ticket: highestTicket, revision };
    return buildSnapshot({ revision, highestTicket }, [
        ...passed.services.map(({ name, state }) => ({ kind: "service" as const, name, state, ...rowOrigin })),
        ...passed.workspaces.map(({ name, state }) => ({ kind: "workspace" as const, name, state, ...rowOrigin })),
        ...passed.recalls.map(({ name, state }) => ({ kind: "recall" as const, name, state, ...rowOrigin })),
    ]);
}
