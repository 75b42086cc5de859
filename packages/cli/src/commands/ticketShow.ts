import { type TicketRow } from "@rattanquay/schema";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { printResponse } from "./report";

export const ticketShow: Command = {
    name: "ticket show",
    usage: `ticket show NUMBER ${operatorUsage}`,
    summary: "Show one accepted ticket with its content.",
    run: async args => {
        const { connection, json, positionals: [number] } = parseOperatorArgs(args);
        if (number === undefined || !/^\d+$/.test(number)) {
            throw new Error("NUMBER is missing or not a number.");
        }
        return printResponse(
            await callOperator(connection, `/v1/tickets/${number}`),
            json,
            (row: TicketRow) => JSON.stringify(row, undefined, 4),
        );
    },
};
