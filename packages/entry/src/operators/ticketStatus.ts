/** Where an accepted ticket is in force. */
import { type Progress } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { type Peers } from "../peers";
import { readTicket } from "../tickets";

type Places = {
    readonly ticket: number;
    readonly revision: number;
    readonly inForce: readonly string[];
    readonly notYet: readonly string[];
    /** Processes that nobody reachable has heard from lately; whether it is in force there is not known. */
    readonly notAsked: readonly string[];
};

type Answer = { readonly status: number; readonly body: Places | { readonly error: { readonly message: string } } };

/** Answers `GET /v1/tickets/N/status`. */
export async function answerTicketStatus(table: Table, peers: Peers, ticket: number): Promise<Answer> {
    const outcome = await readTicket(table, ticket);
    if (outcome.kind !== "done") {
        return problem(503, "The platform's table does not answer, so the ticket's revision is not known. Try again.");
    }
    if (outcome.value === undefined) {
        return problem(404, `Ticket ${ticket} was never accepted.`);
    }
    return { status: 200, body: sortPlaces(ticket, outcome.value.revision, await peers.progress()) };
}

function sortPlaces(ticket: number, revision: number, all: readonly Progress[]): Places {
    const names = (part: readonly Progress[]): string[] => part.map(({ process }) => process);
    const isInForce = (progress: Progress): boolean => progress.revision >= revision;
    return {
        ticket,
        revision,
        // Revisions never go back, so a process that was heard to have it still does.
        inForce: names(all.filter(isInForce)),
        notYet: names(all.filter(progress => progress.heard && !isInForce(progress))),
        notAsked: names(all.filter(progress => !progress.heard && !isInForce(progress))),
    };
}

function problem(status: number, message: string): Answer {
    return { status, body: { error: { message } } };
}
