/** Reports in which processes an accepted ticket is in force. */
import { type ConfigProgress } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { type Peers } from "../peers";
import { readTicket } from "../tickets";

type TicketStatus = {
    readonly ticket: number;
    readonly revision: number;
    readonly inForce: readonly string[];
    readonly notYet: readonly string[];
    /** Processes that no reachable process has heard from recently, so their state is unknown. */
    readonly notAsked: readonly string[];
};

type JsonResponse = {
    readonly status: number;
    readonly body: TicketStatus | { readonly error: { readonly message: string } };
};

/** The response to `GET /v1/tickets/N/status`. */
export async function ticketStatusResponse(table: Table, peers: Peers, ticket: number): Promise<JsonResponse> {
    const outcome = await readTicket(table, ticket);
    if (outcome.kind !== "done") {
        return errorResponse(
            503,
            "The platform's table does not answer, so the ticket's revision is not known. Try again.",
        );
    }
    if (outcome.value === undefined) {
        return errorResponse(404, `Ticket ${ticket} was never accepted.`);
    }
    return { status: 200, body: ticketStatus(ticket, outcome.value.revision, await peers.progress()) };
}

function ticketStatus(ticket: number, revision: number, all: readonly ConfigProgress[]): TicketStatus {
    const processNames = (entries: readonly ConfigProgress[]): string[] => entries.map(({ process }) => process);
    const isInForce = (progress: ConfigProgress): boolean => progress.revision >= revision;
    return {
        ticket,
        revision,
        // Revisions never decrease, so a process that has once reported this revision still has it or a later one.
        inForce: processNames(all.filter(isInForce)),
        notYet: processNames(all.filter(progress => progress.heard && !isInForce(progress))),
        notAsked: processNames(all.filter(progress => !progress.heard && !isInForce(progress))),
    };
}

function errorResponse(status: number, message: string): JsonResponse {
    return { status, body: { error: { message } } };
}
