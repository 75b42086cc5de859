/** A configuration of many workspaces, which takes seconds over a slow link, and a key that its last ticket adds. */
import { hashKey, submitTicket } from "@rattanquay/entry";
import { Ticket } from "@rattanquay/schema";
import { makeDynamoTable, type Table } from "@rattanquay/table";
import { get } from "node:http";
import * as assert from "uvu/assert";

export const credentials = { accessKeyId: "lab", secretAccessKey: "lab" };
/** The key of the configuration before, which ticket 1 adds. */
export const firstKey = "first-key-00000000000";
export const addedKey = "added-key-00000000000";
export const workspaces = 3_000;
const workspacesPerTicket = 45;

export const keyHash = (index: number): string => index.toString(16).padStart(64, "0");

export function ticketOf(ticket: number, keys: Readonly<Record<string, string>>): Ticket {
    const declared = Object.entries(keys).map(([name, key]) => [name, { keySha256: [key], services: ["assistant"] }]);
    return Ticket.parse({ ticket, author: "lab", workspaces: Object.fromEntries(declared) });
}

export const tableAt = (address: string): Table =>
    makeDynamoTable({
        endpoint: `http://${address}`,
        region: "local",
        tableName: "rattanquay",
        timeoutMs: 1_000,
        credentials,
    });

/** Accepts the many workspaces and the added key after ticket 1, and returns the last ticket's number. */
export async function enlarge(table: Table): Promise<number> {
    let ticket = 1;
    for (let first = 0; first < workspaces; first += workspacesPerTicket) {
        const indexes = Array.from({ length: workspacesPerTicket }, (unused, index) => first + index);
        const names = Object.fromEntries(indexes.map(index => [`workspace-${index}`, keyHash(index)]));
        assert.is((await submitTicket(table, ticketOf(++ticket, names))).kind, "accepted");
    }
    assert.is((await submitTicket(table, ticketOf(++ticket, { added: hashKey(addedKey) }))).kind, "accepted");
    return ticket;
}

/** Accepts ticket 1, with the first key. */
export async function declareFirst(table: Table): Promise<void> {
    assert.is((await submitTicket(table, ticketOf(1, { first: hashKey(firstKey) }))).kind, "accepted");
}

/** The status that a caller with a key gets for its list of models: 200 if the key is known, whatever else is. */
export function listModels(port: number, key: string): Promise<number> {
    return new Promise((resolve, reject) => {
        const options = { host: "127.0.0.1", port, path: "/v1/models", agent: false };
        get({ ...options, headers: { authorization: `Bearer ${key}` } }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        }).on("error", reject);
    });
}
