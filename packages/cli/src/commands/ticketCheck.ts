import { Ticket } from "@rattanquay/schema";
import { type Command } from "../runCommand";
import { checkFile } from "./checkFile";

export const ticketCheck: Command = {
    words: "ticket check",
    usage: "ticket check FILE",
    summary: "Check a ticket offline.",
    run: args => checkFile(args, Ticket, "a ticket"),
};
