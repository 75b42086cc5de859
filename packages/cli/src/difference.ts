/** What a ticket would change in the configuration in force. */
import { type Ticket } from "@rattanquay/schema";

/** One key whose value differs; `undefined` on the side where it is absent. */
export type KeyChange = { readonly key: string; readonly inForce: unknown; readonly declared: unknown };

export type SubjectChange = {
    readonly subject: string;
    readonly change: "added" | "changed" | "removed" | "unchanged";
    readonly keys: readonly KeyChange[];
};

type Subjects = Readonly<Record<string, unknown>>;

/** Compares each subject that the ticket touches; removing what is not there changes nothing. */
export function differences(ticket: Ticket, inForce: Subjects): readonly SubjectChange[] {
    const { services, workspaces, recalls } = ticket;
    const declared = Object.entries({ services, workspaces, recalls }).flatMap(([folder, states]) =>
        Object.entries(states).map(([name, state]) => compare(`${folder}/${name}`, inForce[`${folder}/${name}`], state))
    );
    return [...declared, ...ticket.remove.map(subject => compare(subject, inForce[subject], undefined))];
}

function compare(subject: string, inForce: unknown, declared: unknown): SubjectChange {
    const before = leaves(inForce);
    const after = leaves(declared);
    const keys = [...new Set([...before.keys(), ...after.keys()])]
        .map(key => ({ key, inForce: before.get(key), declared: after.get(key) }))
        .filter(change => JSON.stringify(change.inForce) !== JSON.stringify(change.declared));
    return { subject, change: kindOf(inForce, declared, keys.length), keys };
}

function kindOf(inForce: unknown, declared: unknown, changedKeys: number): SubjectChange["change"] {
    if (changedKeys === 0) {
        return "unchanged";
    }
    if (inForce === undefined) {
        return "added";
    }
    return declared === undefined ? "removed" : "changed";
}

/** Values by dotted key; a list is one value, since its order may matter. */
function leaves(value: unknown, key = ""): ReadonlyMap<string, unknown> {
    if (value === undefined) {
        return new Map();
    }
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return new Map([[key, value]]);
    }
    return new Map(
        Object.entries(value).flatMap(([step, inner]) => [...leaves(inner, key === "" ? step : `${key}.${step}`)]),
    );
}
