import { Ticket } from "@rattanquay/schema";
import { readJsonFile } from "../jsonFile";
import { complain } from "../output";

/** Reads the ticket that a command's FILE names. What is wrong with it has been said when there is nothing to return. */
export function readTicketFile(path: string | undefined): Ticket | undefined {
    if (path === undefined) {
        throw new Error("FILE is missing.");
    }
    const file = readJsonFile(path, Ticket);
    if (file.kind === "valid") {
        return file.value;
    }
    complain(file.message);
    return undefined;
}
