import { type KeyChange, type SubjectChange, ticketChanges } from "../difference";
import { exitCodes } from "../exitCodes";
import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { print } from "../output";
import { type Command } from "../runCommand";
import { printResponse } from "./report";
import { readTicketFile } from "./ticketFile";

type InForce = {
    readonly process: string;
    readonly revision: number;
    readonly highestTicket: number;
    readonly confirmedMsAgo: number;
    readonly subjects: Readonly<Record<string, unknown>>;
};

export const ticketDiff: Command = {
    name: "ticket diff",
    usage: `ticket diff FILE ${operatorUsage}`,
    summary: "Show what a ticket would change in the configuration that one entry instance has in force.",
    run: async args => {
        const { connection, json, positionals: [path] } = parseOperatorArgs(args);
        const ticket = readTicketFile(path);
        if (ticket === undefined) {
            return exitCodes.usage;
        }
        const response = await callOperator(connection, "/v1/config");
        if (response.kind === "unreachable" || response.status >= 400) {
            return printResponse(response, json, () => "");
        }
        const inForce = response.body as InForce;
        const changes = ticketChanges(ticket, inForce.subjects);
        print(
            json
                ? JSON.stringify({ ticket: ticket.ticket, revision: inForce.revision, changes })
                : render(ticket.ticket, inForce, changes),
        );
        return exitCodes.ok;
    },
};

const changeMarks: Record<SubjectChange["change"], string> = { added: "+", changed: "~", removed: "-", unchanged: "=" };

function render(ticket: number, inForce: InForce, changes: readonly SubjectChange[]): string {
    const { process, revision, highestTicket, confirmedMsAgo } = inForce;
    return [
        `Ticket ${ticket} against revision ${revision} in force at ${process}, confirmed ${confirmedMsAgo} ms ago:`,
        ...changes.flatMap(({ subject, change, keys }) => [
            `${changeMarks[change]} ${subject}  ${change}`,
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
