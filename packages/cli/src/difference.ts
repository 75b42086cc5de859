/** Compares a ticket with the configuration in force. */
import { type Ticket } from "@rattanquay/schema";

/** A key whose value differs; `undefined` on the side that lacks it. */
export type KeyChange = { readonly key: string; readonly inForce: unknown; readonly declared: unknown };

export type SubjectChange = {
    readonly subject: string;
    readonly change: "added" | "changed" | "removed" | "unchanged";
    readonly keys: readonly KeyChange[];
};

type Subjects = Readonly<Record<string, unknown>>;

/** Compares each subject in the ticket with its state in force. Removing an absent subject counts as unchanged. */
export function ticketChanges(ticket: Ticket, inForce: Subjects): readonly SubjectChange[] {
    const { services, workspaces, recalls } = ticket;
    const declared = Object.entries({ services, workspaces, recalls }).flatMap(([collection, states]) =>
        Object.entries(states).map(([name, state]) =>
            compare(`${collection}/${name}`, inForce[`${collection}/${name}`], state)
        )
    );
    return [...declared, ...ticket.remove.map(subject => compare(subject, inForce[subject], undefined))];
}

function compare(subject: string, inForce: unknown, declared: unknown): SubjectChange {
    const before = valuesByKey(inForce);
    const after = valuesByKey(declared);
    const keys = [...new Set([...before.keys(), ...after.keys()])]
        .map(key => ({ key, inForce: before.get(key), declared: after.get(key) }))
        .filter(change => JSON.stringify(change.inForce) !== JSON.stringify(change.declared));
    return { subject, change: changeKind(inForce, declared, keys.length), keys };
}

function changeKind(inForce: unknown, declared: unknown, changedKeys: number): SubjectChange["change"] {
    if (changedKeys === 0) {
        return "unchanged";
    }
    if (inForce === undefined) {
        return "added";
    }
    return declared === undefined ? "removed" : "changed";
}

/** Flattens nested objects to values by dotted key. A list is one value, since its order may matter. */
function valuesByKey(value: unknown, key = ""): ReadonlyMap<string, unknown> {
    if (value === undefined) {
        return new Map();
    }
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return new Map([[key, value]]);
    }
    return new Map(
        Object.entries(value).flatMap(([name, inner]) => [...valuesByKey(inner, key === "" ? name : `${key}.${name}`)]),
    );
}
