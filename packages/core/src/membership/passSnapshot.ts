/** A configuration on its way from one process to another. */
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
    const origin = { ticket: highestTicket, revision };
    return foldRows({ revision, highestTicket }, [
        ...passed.services.map(({ name, state }) => ({ kind: "service" as const, name, state, ...origin })),
        ...passed.workspaces.map(({ name, state }) => ({ kind: "workspace" as const, name, state, ...origin })),
        ...passed.recalls.map(({ name, state }) => ({ kind: "recall" as const, name, state, ...origin })),
    ]);
}
