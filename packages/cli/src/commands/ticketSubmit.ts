import { Ticket, type Verdict } from "@rattanquay/schema";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { complain } from "../output";
import { type Command } from "../runCommand";
import { report } from "./report";

export const ticketSubmit: Command = {
    words: "ticket submit",
    usage: `ticket submit FILE ${operatorUsage}`,
    summary: "Submit a ticket. Submitting the same ticket again gives the same verdict.",
    run: async args => {
        const { connection, json, positionals: [path] } = parseOperatorArgs(args);
        if (path === undefined) {
            throw new Error("FILE is missing.");
        }
        const file = readJsonFile(path, Ticket);
        if (file.kind === "invalid") {
            complain(file.message);
            return exitCodes.usage;
        }
        const answer = await callOperator(connection, "/v1/tickets", file.value);
        return report(
            answer,
            json,
            (verdict: Extract<Verdict, { readonly kind: "accepted" }>) =>
                `Ticket ${verdict.ticket} is accepted as revision ${verdict.revision}.`,
        );
    },
};
