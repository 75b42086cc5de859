/** Comparison of a ticket with the configuration in force. */
import { Ticket } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ticketChanges } from "../difference";

const workspace = { keySha256: ["0".repeat(64)], services: ["assistant"], share: 1 };
const declare = (content: object) => Ticket.parse({ ticket: 2, author: "ana", ...content });

const cases = [
    {
        name: "a new subject",
        ticket: declare({ workspaces: { b: workspace } }),
        inForce: {},
        expected: [["workspaces/b", "added", ["keySha256", "services", "share"]]],
    },
    {
        name: "one changed key",
        ticket: declare({ workspaces: { a: { ...workspace, share: 3 } } }),
        inForce: { "workspaces/a": workspace },
        expected: [["workspaces/a", "changed", ["share"]]],
    },
    {
        name: "the same state, keys in another order",
        ticket: declare({ workspaces: { a: workspace } }),
        inForce: { "workspaces/a": { share: 1, services: ["assistant"], keySha256: workspace.keySha256 } },
        expected: [["workspaces/a", "unchanged", []]],
    },
    {
        name: "removal of a subject, and of an absent one",
        ticket: declare({ remove: ["workspaces/a", "workspaces/z"] }),
        inForce: { "workspaces/a": workspace },
        expected: [
            ["workspaces/a", "removed", ["keySha256", "services", "share"]],
            ["workspaces/z", "unchanged", []],
        ],
    },
];

for (const { name, ticket, inForce, expected } of cases) {
    test(name, () => {
        const found = ticketChanges(ticket, inForce).map(({ subject, change, keys }) =>
            [subject, change, keys.map(({ key }) => key)] as const
        );
        assert.equal(found, expected);
    });
}

test.run();
