import { Ticket } from "@rattanquay/schema";
import { readJsonFile } from "../jsonFile";
import { printError } from "../output";

/** Reads a ticket from a command's FILE argument. For an invalid file it prints the faults and returns undefined. */
export function readTicketFile(path: string | undefined): Ticket | undefined {
    if (path === undefined) {
        throw new Error("FILE is missing.");
    }
    const file = readJsonFile(path, Ticket);
    if (file.kind === "valid") {
        return file.value;
    }
    printError(file.message);
    return undefined;
}
