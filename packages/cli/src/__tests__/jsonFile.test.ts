/** Faults in a hand-written file are reported with line and key. */
import { Settings, Ticket } from "@rattanquay/schema";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readJsonFile } from "../jsonFile";

const folder = mkdtempSync(join(tmpdir(), "rattanquay-cli-"));
const file = join(folder, "file.json");
test.after(() => rmSync(folder, { recursive: true }));

const ticket = (lines: readonly string[]): string =>
    ["{", '  "ticket": 3,', '  "author": "ana",', ...lines, "}"].join("\n");

const cases = [
    {
        name: "an unknown key similar to a known one",
        schema: Ticket,
        text: ticket(['  "servics": {}']),
        expected: [
            { line: 4, key: "servics", message: /unknown key "servics"\. Did you mean "services"\?/ },
            { line: 1, key: "(top level)", message: /must touch at least one/ },
        ],
    },
    {
        name: "an unknown nested key",
        schema: Ticket,
        text: ticket([
            '  "workspaces": {',
            '    "installers": {',
            '      "keySha265": [],',
            '      "services": []',
            "    }",
            "  }",
        ]),
        expected: [
            { line: 5, key: "workspaces.installers.keySha256", message: /found nothing/ },
            { line: 6, key: "workspaces.installers.keySha265", message: /Did you mean "keySha256"\?/ },
        ],
    },
    {
        name: "a wrong value inside a list",
        schema: Ticket,
        text: ticket(['  "remove": [', '    "services/a",', '    "b"', "  ]"]),
        expected: [{ line: 6, key: "remove.1", message: /must be like services\/NAME; found "b"/ }],
    },
    {
        name: "a duplicate key",
        schema: Ticket,
        text: ticket(['  "reason": "a",', '  "reason": "b"']),
        expected: [{ line: 5, key: "reason", message: /stands twice/ }],
    },
    {
        name: "bad JSON",
        schema: Ticket,
        text: '{\n  "ticket": 3,,\n}',
        expected: [{ line: 2, key: undefined, message: /not valid JSON/ }],
    },
    { name: "an empty file", schema: Ticket, text: "", expected: [{ line: 1, key: undefined, message: /JSON/ }] },
    {
        name: "settings without the keys that have no default",
        schema: Settings,
        text: '{\n  "process": { "id": "e", "region": "r" }\n}',
        expected: [
            { line: 2, key: "process.availabilityZone", message: /found nothing/ },
            { line: 1, key: "listeners", message: /found nothing/ },
            { line: 1, key: "platform", message: /found nothing/ },
            { line: 1, key: "peers", message: /found nothing/ },
        ],
    },
];

for (const { name, schema, text, expected } of cases) {
    test(`${name} is reported with line and key`, () => {
        writeFileSync(file, text);
        const read = readJsonFile(file, schema);
        assert.is(read.kind, "invalid");
        const faults = read.kind === "invalid" ? read.faults : [];
        assert.equal(
            faults.map(({ line, key }) => ({ line, key })),
            expected.map(({ line, key }) => ({ line, key })),
        );
        expected.forEach(({ message }, index) => assert.match(faults[index]!.message, message));
        assert.match(read.kind === "invalid" ? read.message : "", `${file}:${expected[0]!.line}: `);
    });
}

test("a file that cannot be read is reported with its name", () => {
    const read = readJsonFile(join(folder, "missing.json"), Ticket);
    assert.match(read.kind === "invalid" ? read.message : "", /missing\.json: cannot be read/);
});

test.run();
