import { type Verdict } from "@rattanquay/schema";
import { exitCodes } from "../exitCodes";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { printResponse } from "./report";
import { readTicketFile } from "./ticketFile";

export const ticketSubmit: Command = {
    name: "ticket submit",
    usage: `ticket submit FILE ${operatorUsage}`,
    summary: "Submit a ticket. Submitting the same ticket again gives the same verdict.",
    run: async args => {
        const { connection, json, positionals: [path] } = parseOperatorArgs(args);
        const ticket = readTicketFile(path);
        if (ticket === undefined) {
            return exitCodes.usage;
        }
        const response = await callOperator(connection, "/v1/tickets", ticket);
        return printResponse(
            response,
            json,
            (verdict: Extract<Verdict, { readonly kind: "accepted" }>) =>
                `Ticket ${verdict.ticket} is accepted as revision ${verdict.revision}.`,
        );
    },
};
