/** What the program says of its version, and of a Node version that it does not run on. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findNodeVersionFault } from "../nodeVersion";
import { runCommand } from "../runCommand";

const root = fileURLToPath(new URL("../../../../", import.meta.url));

const versions = [
    { version: "20.19.0", isSupported: true },
    { version: "20.20.2", isSupported: true },
    { version: "20.18.9", isSupported: false },
    { version: "18.20.4", isSupported: false },
    { version: "22.1.0", isSupported: false },
];
for (const { version, isSupported } of versions) {
    test(`Node ${version} is ${isSupported ? "" : "not "}supported`, () => {
        const fault = findNodeVersionFault(version);
        assert.is(fault === undefined, isSupported);
        assert.ok(isSupported || (fault!.includes(version) && !fault!.includes("\n")));
    });
}

test("the supported versions are those of package.json", () => {
    const { engines } = JSON.parse(readFileSync(`${root}package.json`, "utf8")) as { engines: { node: string } };
    assert.is(engines.node, ">=20.19 <21");
});

test("--version names the version, the kind of machine and the Node version", async () => {
    const { write } = process.stdout;
    let output = "";
    process.stdout.write = (text: string | Uint8Array): boolean => {
        output += String(text);
        return true;
    };
    try {
        assert.is(await runCommand(["--version"]), 0);
    }
    finally {
        process.stdout.write = write;
    }
    assert.match(output, /^\d+\.\d+\.\d+.*\n$/);
    assert.ok(output.includes(`${process.platform} ${process.arch}, Node ${process.versions.node}`), output);
});

test.run();
