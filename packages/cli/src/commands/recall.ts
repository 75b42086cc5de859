import { Ticket } from "@rattanquay/schema";
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { exitCodes } from "../exitCodes";
import { callOperator, operatorOptions, operatorUsage } from "../operatorClient";
import { complain } from "../output";
import { type Command } from "../runCommand";
import { report } from "./report";

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
    words: "recall",
    usage:
        `recall --name NAME --ticket NUMBER --author WHO (--instances A,B,… | --model M --version V) [--reason TEXT] [--write FILE] ${operatorUsage}`,
    summary:
        "Write the ticket that recalls a batch of instances or a model version, and submit it.\nWith --write the ticket is also kept in FILE, for version control.",
    run: async args => {
        const { values } = parseArgs({ args: [...args], options });
        const batch = values.instances === undefined
            ? { kind: "version", model: values.model, version: values.version }
            : { kind: "instances", instances: values.instances.split(",") };
        const draft = Ticket.safeParse({
            ticket: Number(values.ticket),
            author: values.author,
            reason: values.reason,
            recalls: { [values.name ?? ""]: batch },
        });
        if (!draft.success) {
            complain(
                `The recall is not complete: ${
                    draft.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ")
                }`,
            );
            return exitCodes.usage;
        }
        if (values.write !== undefined) {
            writeFileSync(values.write, `${JSON.stringify(draft.data, undefined, 4)}\n`);
        }
        const answer = await callOperator(values, "/v1/tickets", draft.data);
        return report(answer, values.json, () => `Recall ${values.name} is accepted as ticket ${values.ticket}.`);
    },
};
