import { type TicketRow } from "@rattanquay/schema";
import { callOperator, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { report } from "./report";

export const ticketShow: Command = {
    words: "ticket show",
    usage: "ticket show NUMBER [--endpoint URL] [--json]",
    summary: "Show one accepted ticket with its content.",
    run: async args => {
        const { endpoint, json, positionals: [number] } = parseOperatorArgs(args);
        if (number === undefined || !/^\d+$/.test(number)) {
            throw new Error("NUMBER is missing or not a number.");
        }
        return report(
            await callOperator(endpoint, `/v1/tickets/${number}`),
            json,
            (row: TicketRow) => JSON.stringify(row, undefined, 4),
        );
    },
};
