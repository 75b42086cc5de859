import { type TicketRow } from "@rattanquay/schema";
import { callOperator, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { report } from "./report";

export const ticketList: Command = {
    words: "ticket list",
    usage: "ticket list [--endpoint URL] [--json]",
    summary: "List accepted tickets.",
    run: async args => {
        const { endpoint, json } = parseOperatorArgs(args);
        return report(
            await callOperator(endpoint, "/v1/tickets"),
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
