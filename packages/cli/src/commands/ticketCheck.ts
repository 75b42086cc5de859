import { Ticket } from "@rattanquay/schema";
import { type Command } from "../runCommand";
import { checkFile } from "./checkFile";

export const ticketCheck: Command = {
    words: "ticket check",
    usage: "ticket check FILE [--json]",
    summary: "Check a ticket offline and say, line by line, what is wrong with it.",
    run: args => checkFile(args, Ticket, "a ticket"),
};
