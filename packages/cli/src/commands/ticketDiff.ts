import { differences, type KeyChange, type SubjectChange } from "../difference";
import { exitCodes } from "../exitCodes";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { print } from "../output";
import { type Command } from "../runCommand";
import { report } from "./report";
import { readTicketFile } from "./ticketFile";

type InForce = {
    readonly process: string;
    readonly revision: number;
    readonly highestTicket: number;
    readonly confirmedMsAgo: number;
    readonly subjects: Readonly<Record<string, unknown>>;
};

export const ticketDiff: Command = {
    words: "ticket diff",
    usage: `ticket diff FILE ${operatorUsage}`,
    summary: "Show what a ticket would change in the configuration that one entry instance has in force.",
    run: async args => {
        const { connection, json, positionals: [path] } = parseOperatorArgs(args);
        const ticket = readTicketFile(path);
        if (ticket === undefined) {
            return exitCodes.usage;
        }
        const answer = await callOperator(connection, "/v1/config");
        if (answer.kind === "unreachable" || answer.status >= 400) {
            return report(answer, json, () => "");
        }
        const inForce = answer.body as InForce;
        const changes = differences(ticket, inForce.subjects);
        print(
            json
                ? JSON.stringify({ ticket: ticket.ticket, revision: inForce.revision, changes })
                : render(ticket.ticket, inForce, changes),
        );
        return exitCodes.ok;
    },
};

const marks: Record<SubjectChange["change"], string> = { added: "+", changed: "~", removed: "-", unchanged: "=" };

function render(ticket: number, inForce: InForce, changes: readonly SubjectChange[]): string {
    const { process, revision, highestTicket, confirmedMsAgo } = inForce;
    return [
        `Ticket ${ticket} against revision ${revision} in force at ${process}, confirmed ${confirmedMsAgo} ms ago:`,
        ...changes.flatMap(({ subject, change, keys }) => [
            `${marks[change]} ${subject}  ${change}`,
            ...(change === "changed" ? keys.map(renderKey) : []),
        ]),
        ...(ticket > highestTicket
            ? []
            : [`The highest ticket in force is ${highestTicket}: this number may be taken or too low.`]),
    ].join("\n");
}

function renderKey({ key, inForce, declared }: KeyChange): string {
    const show = (value: unknown): string => value === undefined ? "(absent)" : JSON.stringify(value);
    return `    ${key}: ${show(inForce)} -> ${show(declared)}`;
}
