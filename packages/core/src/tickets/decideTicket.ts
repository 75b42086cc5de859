import {
    type HeadRow,
    subjectKeys,
    type SubjectRow,
    type Ticket,
    type TicketRow,
    type Verdict,
} from "@rattanquay/schema";

/** The table's contents that a decision on a ticket depends on. */
export type TicketContext = {
    readonly head: HeadRow;
    /** The ticket that was accepted under the same number, if any. */
    readonly sameNumber: TicketRow | undefined;
    /** Existing rows of the subjects that the ticket touches, by subject key. */
    readonly subjects: ReadonlyMap<string, SubjectRow>;
};

/** Either a verdict, or the rows that one transaction must write for the ticket to be accepted. */
export type TicketDecision =
    | { readonly kind: "decided"; readonly verdict: Verdict }
    | {
        readonly kind: "write";
        readonly revision: number;
        readonly ticketRow: TicketRow;
        readonly subjectRows: readonly SubjectRow[];
    };

/**
 * Decides whether a ticket is accepted, given the table's current contents.
 *
 * The same number with the same content gets the same verdict, however often it is sent. A ticket is refused if one of its
 * subjects was last set by a ticket with a higher number, and the refusal names that ticket.
 */
export function decideTicket(ticket: Ticket, digest: string, ground: TicketContext): TicketDecision {
    if (ground.sameNumber !== undefined) {
        return { kind: "decided", verdict: repeatedVerdict(ticket, digest, ground.sameNumber) };
    }
    if (ticket.ticket <= ground.head.evictedThrough) {
        return { kind: "decided", verdict: tooOldVerdict(ticket, ground.head.evictedThrough) };
    }
    const newer = [...ground.subjects].find(([, row]) => row.ticket >= ticket.ticket);
    if (newer !== undefined) {
        return { kind: "decided", verdict: overtakenVerdict(ticket, newer[0], newer[1].ticket) };
    }
    const revision = ground.head.revision + 1;
    return {
        kind: "write",
        revision,
        ticketRow: {
            ticket: ticket.ticket,
            digest,
            revision,
            author: ticket.author,
            reason: ticket.reason,
            subjects: [...subjectKeys(ticket)],
            content: ticket,
        },
        subjectRows: subjectRowsOf(ticket, revision),
    };
}

function repeatedVerdict(ticket: Ticket, digest: string, accepted: TicketRow): Verdict {
    if (accepted.digest === digest) {
        return { kind: "accepted", ticket: ticket.ticket, revision: accepted.revision };
    }
    const message =
        `Ticket ${ticket.ticket} was accepted with other content, from ${accepted.author}. Give yours a new number.`;
    return { kind: "numberTaken", ticket: ticket.ticket, message };
}

function tooOldVerdict(ticket: Ticket, evictedThrough: number): Verdict {
    const message = `Tickets up to ${evictedThrough} are no longer kept here, so that nobody can tell whether `
        + `${ticket.ticket} was accepted. Look into version control, and submit what is missing under a new number.`;
    return { kind: "tooOld", ticket: ticket.ticket, evictedThrough, message };
}

function overtakenVerdict(ticket: Ticket, subject: string, by: number): Verdict {
    const message =
        `${subject} is already set by ticket ${by}. Review that ticket, then submit yours with a number above ${by}.`;
    return { kind: "overtaken", ticket: ticket.ticket, by, subject, message };
}

/** The rows that a ticket sets when it is accepted as `revision`. */
export function subjectRowsOf(ticket: Ticket, revision: number): readonly SubjectRow[] {
    const common = { ticket: ticket.ticket, revision };
    return [
        ...Object.entries(ticket.services).map(([name, state]) => ({
            kind: "service" as const,
            name,
            state,
            ...common,
        })),
        ...Object.entries(ticket.workspaces).map(([name, state]) => ({
            kind: "workspace" as const,
            name,
            state,
            ...common,
        })),
        ...Object.entries(ticket.recalls).map(([name, state]) => ({ kind: "recall" as const, name, state, ...common })),
        ...ticket.remove.map(key => ({ ...tombstone(key), ...common })),
    ];
}

const kindByPrefix = { services: "service", workspaces: "workspace", recalls: "recall" } as const;

function tombstone(key: string): { readonly kind: SubjectRow["kind"]; readonly name: string } {
    const [prefix, name] = key.split("/") as [keyof typeof kindByPrefix, string];
    return { kind: kindByPrefix[prefix], name };
}
