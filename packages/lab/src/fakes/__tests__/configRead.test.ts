/** Guards against a configuration that is never read, or is read mixed, because tickets are accepted during each list. */
import { readHead, readSnapshot, submitTicket } from "@rattanquay/entry";
import { configPartition, type KeyedRow, Ticket } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeTable } from "..";

const keptTickets = 4;

type Change = { readonly sets: readonly string[]; readonly removes: readonly string[] };

function ticketOf(ticket: number, { sets, removes }: Change): Ticket {
    const state = { keySha256: [String(ticket).padStart(64, "0")], services: ["assistant"] };
    return Ticket.parse({
        ticket,
        author: "lab",
        workspaces: Object.fromEntries(sets.map(name => [name, state])),
        remove: removes.map(name => `workspaces/${name}`),
    });
}

const first: Change = { sets: ["a", "b", "c"], removes: [] };
/** `during` are the tickets accepted after the list has read its first subject and before it reads the others. */
const cases: readonly { readonly name: string; readonly during: readonly Change[]; readonly expected?: string[] }[] = [
    { name: "none", during: [], expected: ["a 1", "b 1", "c 1"] },
    {
        name: "one for a subject read before and one after",
        during: [{ sets: ["a", "c"], removes: [] }],
        expected: ["a 2", "b 1", "c 2"],
    },
    { name: "one that adds a subject", during: [{ sets: ["0"], removes: [] }], expected: ["0 2", "a 1", "b 1", "c 1"] },
    { name: "one that removes a subject", during: [{ sets: [], removes: ["a"] }], expected: ["b 1", "c 1"] },
    {
        name: "several for the same subjects",
        during: [{ sets: ["a"], removes: ["b"] }, { sets: ["b"], removes: ["a"] }, { sets: ["a"], removes: ["c"] }],
        expected: ["a 4", "b 3"],
    },
    {
        name: "more than are kept",
        during: Array.from({ length: keptTickets + 1 }, () => ({ sets: ["a"], removes: [] })),
    },
];

for (const { name, during, expected } of cases) {
    test(`DENIED: a configuration is never in force because tickets are accepted during each list; ${name}`, async () => {
        const fake = new FakeTable();
        const table: Table = {
            read: async key => ({ kind: "done", value: fake.read(key) }),
            list: async partition => ({ kind: "done", value: fake.list(partition) }),
            transact: async (writes, token) =>
                fake.transact(writes, token) ? { kind: "done", value: undefined } : { kind: "conflict" },
            stop: () => undefined,
        };
        const accept = async (ticket: number, change: Change): Promise<void> => {
            const verdict = await submitTicket(table, ticketOf(ticket, change), undefined, keptTickets);
            assert.is(verdict.kind, "accepted");
        };
        const listSlowly = async (): Promise<readonly KeyedRow[]> => {
            const isEarly = ({ key }: KeyedRow): boolean => key <= "workspaces/a";
            const early = fake.list(configPartition).filter(isEarly);
            for (const [index, change] of during.entries()) {
                await accept(index + 2, change);
            }
            return [...early, ...fake.list(configPartition).filter(row => !isEarly(row))];
        };
        await accept(1, first);
        const before = await readHead(table);
        const slow: Table = { ...table, list: async () => ({ kind: "done", value: await listSlowly() }) };
        const snapshot = await readSnapshot(slow, before!, keptTickets);
        const seen = snapshot
            && [...snapshot.workspaces].map(([key, { keySha256 }]) => `${key} ${Number(keySha256[0])}`);
        assert.equal(seen?.sort(), expected);
        assert.is(snapshot?.revision, expected && during.length + 1);
    });
}

test.run();
