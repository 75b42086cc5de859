import { Ticket } from "@rattanquay/schema";
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { exitCodes } from "../exitCodes";
import { callOperator, operatorOptions, operatorUsage } from "../operatorClient";
import { printError } from "../output";
import { type Command } from "../runCommand";
import { printResponse } from "./report";

const options = {
    ...operatorOptions,
    name: { type: "string" },
    ticket: { type: "string" },
    author: { type: "string" },
    reason: { type: "string", default: "" },
    instances: { type: "string" },
    model: { type: "string" },
    version: { type: "string" },
    write: { type: "string" },
} as const;

export const recall: Command = {
    name: "recall",
    usage:
        `recall --name NAME --ticket NUMBER --author WHO (--instances A,B,… | --model M --version V) [--reason TEXT] [--write FILE] ${operatorUsage}`,
    summary:
        "Create and submit a ticket that recalls a batch of instances or a model version.\nWith --write the ticket is also saved to FILE, for version control.",
    run: async args => {
        const { values } = parseArgs({ args: [...args], options });
        const recalled = values.instances === undefined
            ? { kind: "version", model: values.model, version: values.version }
            : { kind: "instances", instances: values.instances.split(",") };
        const draft = Ticket.safeParse({
            ticket: Number(values.ticket),
            author: values.author,
            reason: values.reason,
            recalls: { [values.name ?? ""]: recalled },
        });
        if (!draft.success) {
            printError(
                `The recall is incomplete or invalid: ${
                    draft.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ")
                }`,
            );
            return exitCodes.usage;
        }
        if (values.write !== undefined) {
            writeFileSync(values.write, `${JSON.stringify(draft.data, undefined, 4)}\n`);
        }
        const response = await callOperator(values, "/v1/tickets", draft.data);
        return printResponse(
            response,
            values.json,
            () => `Recall ${values.name} is accepted as ticket ${values.ticket}.`,
        );
    },
};
