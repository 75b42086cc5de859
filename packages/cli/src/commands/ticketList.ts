import { type TicketRow } from "@rattanquay/schema";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { printResponse } from "./report";

export const ticketList: Command = {
    name: "ticket list",
    usage: `ticket list ${operatorUsage}`,
    summary: "List accepted tickets.",
    run: async args => {
        const { connection, json } = parseOperatorArgs(args);
        return printResponse(
            await callOperator(connection, "/v1/tickets"),
            json,
            (rows: readonly TicketRow[]) =>
                rows.length === 0 ? "No tickets have been accepted yet." : rows.map(renderRow).join("\n"),
        );
    },
};

function renderRow(row: TicketRow): string {
    return `${row.ticket}  revision ${row.revision}  ${row.author}  ${row.subjects.join(", ")}  ${row.reason}`
        .trimEnd();
}
