import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { report } from "./report";

type Places = {
    readonly ticket: number;
    readonly revision: number;
    readonly inForce: readonly string[];
    readonly notYet: readonly string[];
    readonly notAsked: readonly string[];
};

export const ticketStatus: Command = {
    words: "ticket status",
    usage: `ticket status NUMBER ${operatorUsage}`,
    summary: "Show where a ticket is in force, where not yet, and which processes could not be asked.",
    run: async args => {
        const { connection, json, positionals: [number] } = parseOperatorArgs(args);
        if (number === undefined || !/^\d+$/.test(number)) {
            throw new Error("NUMBER is missing or not a number.");
        }
        return report(await callOperator(connection, `/v1/tickets/${number}/status`), json, render);
    },
};

function render(places: Places): string {
    const line = (label: string, processes: readonly string[]): string =>
        `${label.padEnd(12)}${processes.length}  ${processes.join(", ")}`.trimEnd();
    return [
        `Ticket ${places.ticket}, revision ${places.revision}`,
        line("in force", places.inForce),
        line("not yet", places.notYet),
        line("not asked", places.notAsked),
    ].join("\n");
}
