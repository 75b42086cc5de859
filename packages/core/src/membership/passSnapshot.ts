/** Converts a configuration snapshot to and from the form in which peers send it. */
import { type PassedSnapshot } from "@rattanquay/schema";
import { foldRows, type Snapshot } from "../config";

export function passSnapshot(snapshot: Snapshot): PassedSnapshot {
    const named = <T>(states: ReadonlyMap<string, T>) => [...states].map(([name, state]) => ({ name, state }));
    return {
        revision: snapshot.revision,
        highestTicket: snapshot.highestTicket,
        services: named(snapshot.services),
        workspaces: named(snapshot.workspaces),
        recalls: named(snapshot.recalls),
    };
}

export function takePassedSnapshot(passed: PassedSnapshot): Snapshot {
    const { revision, highestTicket } = passed;
    const rowOrigin = { ticket: highestTicket, revision };
    return foldRows({ revision, highestTicket }, [
        ...passed.services.map(({ name, state }) => ({ kind: "service" as const, name, state, ...rowOrigin })),
        ...passed.workspaces.map(({ name, state }) => ({ kind: "workspace" as const, name, state, ...rowOrigin })),
        ...passed.recalls.map(({ name, state }) => ({ kind: "recall" as const, name, state, ...rowOrigin })),
    ]);
}
