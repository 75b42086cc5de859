import { type TicketRow } from "@rattanquay/schema";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { report } from "./report";

export const ticketList: Command = {
    words: "ticket list",
    usage: `ticket list ${operatorUsage}`,
    summary: "List accepted tickets.",
    run: async args => {
        const { connection, json } = parseOperatorArgs(args);
        return report(
            await callOperator(connection, "/v1/tickets"),
            json,
            (rows: readonly TicketRow[]) =>
                rows.length === 0 ? "No ticket was accepted yet." : rows.map(renderRow).join("\n"),
        );
    },
};

function renderRow(row: TicketRow): string {
    return `${row.ticket}  revision ${row.revision}  ${row.author}  ${row.subjects.join(", ")}  ${row.reason}`
        .trimEnd();
}
