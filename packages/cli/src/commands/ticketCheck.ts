import { Ticket } from "@rattanquay/schema";
import { type Command } from "../runCommand";
import { checkFile } from "./checkFile";

export const ticketCheck: Command = {
    name: "ticket check",
    usage: "ticket check FILE [--json]",
    summary: "Validate a ticket offline and report each fault with its line.",
    run: args => checkFile(args, Ticket, "a ticket"),
};
