import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { printResponse } from "./report";

type TicketStatus = {
    readonly ticket: number;
    readonly revision: number;
    readonly inForce: readonly string[];
    readonly notYet: readonly string[];
    readonly notAsked: readonly string[];
};

export const ticketStatus: Command = {
    name: "ticket status",
    usage: `ticket status NUMBER ${operatorUsage}`,
    summary: "Show in which processes a ticket is in force, in which not yet, and which could not be asked.",
    run: async args => {
        const { connection, json, positionals: [number] } = parseOperatorArgs(args);
        if (number === undefined || !/^\d+$/.test(number)) {
            throw new Error("NUMBER is missing or not a number.");
        }
        return printResponse(await callOperator(connection, `/v1/tickets/${number}/status`), json, render);
    },
};

function render(status: TicketStatus): string {
    const line = (label: string, processes: readonly string[]): string =>
        `${label.padEnd(12)}${processes.length}  ${processes.join(", ")}`.trimEnd();
    return [
        `Ticket ${status.ticket}, revision ${status.revision}`,
        line("in force", status.inForce),
        line("not yet", status.notYet),
        line("not asked", status.notAsked),
    ].join("\n");
}
