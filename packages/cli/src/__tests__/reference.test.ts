/** The reference pages list exactly the names that the program has. */
import { makeGatewayMetrics } from "@rattanquay/gateway";
import { callerErrors, Settings, Ticket } from "@rattanquay/schema";
import { makeMetrics } from "@rattanquay/telemetry";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { commands } from "../commands";
import { exitCodes } from "../exitCodes";
import { readJsonFile } from "../jsonFile";

const page = (name: string): string => readFileSync(`docs/reference/${name}.md`, "utf8");

/** Names that match `pattern` in the first column of a page's tables. */
const named = (text: string, pattern: RegExp): readonly string[] =>
    [...text.matchAll(/^\| `([^`]+)`/gm)].map(match => match[1]!).filter(name => pattern.test(name));

type Shape = {
    readonly properties?: Readonly<Record<string, Shape>>;
    readonly items?: Shape;
    readonly default?: unknown;
    readonly required?: readonly string[];
};

/** Dotted keys of a schema. The three listeners have the same keys, listed once as `listeners.*`. */
const keysOf = (shape: Shape, prefix: string): readonly string[] =>
    Object.entries(shape.properties ?? {}).flatMap(([key, inner]) => {
        const path = prefix === "" ? key : `${prefix}.${key}`;
        const below = path.startsWith("listeners.") && prefix === "listeners" ? "listeners.*" : path;
        const nested = [...keysOf(inner, below), ...keysOf(inner.items ?? {}, `${below}.*`)];
        return nested.length > 0 && prefix === "" && inner.items === undefined ? nested : [path, ...nested];
    });

const sourceFiles = (folder: string): readonly string[] =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(path => path.endsWith(".ts") && !path.includes("__tests__"))
        .map(path => `${folder}/${path}`);

const logEventsIn = (folders: readonly string[]): readonly string[] =>
    folders
        .flatMap(sourceFiles)
        .flatMap(file => [...readFileSync(file, "utf8").matchAll(/\blog\.(?:error|warn|info|debug)\(\s*"(\w+)"/g)])
        .map(match => match[1]!);

const ownFolders = ["cli", "entry", "peer", "table", "task"].map(name => `packages/${name}/src`);
const gatewayFolders = ["packages/gateway/src", "platform/src"];

const schema = z.toJSONSchema(Settings, { io: "input" }) as Shape;

const cases = [
    {
        name: "metrics",
        program: () => makeMetrics().registry.getMetricsAsArray().map(metric => metric.name),
        documented: () => named(page("metrics"), /^rattanquay_/),
    },
    {
        name: "errors",
        program: () => Object.entries(callerErrors).map(([code, { status, ending }]) => `${code} ${status} ${ending}`),
        documented: () =>
            [...page("errors").matchAll(/^\| `(\w+)` \| (\d+) \| `(\w+)` \|/gm)].map(match => match.slice(1).join(" ")),
    },
    {
        name: "settings",
        program: () => keysOf(schema, ""),
        documented: () => named(page("settings"), /./),
    },
    {
        name: "gateway-metrics",
        program: () => makeGatewayMetrics().registry.getMetricsAsArray().map(metric => metric.name),
        documented: () => named(page("gateway-metrics"), /^rattanquay_/),
    },
    {
        name: "gateway-log-events",
        // The log itself reports dropped lines, by a call that `logEventsIn` does not find in these folders.
        program: () => [...logEventsIn(gatewayFolders), "logLinesDropped"],
        documented: () => named(page("gateway-log-events"), /./),
    },
    { name: "log-events", program: () => logEventsIn(ownFolders), documented: () => named(page("log-events"), /./) },
    {
        name: "commands",
        program: () => commands.map(({ name }) => name),
        documented: () => {
            const lines = named(page("commands"), /./).join("\n") + page("commands");
            return commands.map(({ name }) => name).filter(name => lines.includes(`\`${name}`));
        },
    },
];

for (const { name, program, documented } of cases) {
    test(`docs/reference/${name}.md lists exactly the names that the program has`, () => {
        const unique = (names: readonly string[]): readonly string[] => [...new Set(names)].sort();
        assert.equal(unique(documented()), unique(program()));
    });
}

const examples = [
    { file: "docs/examples/settings.json", schema: Settings },
    { file: "docs/examples/ticket-1.json", schema: Ticket },
];

for (const { file, schema } of examples) {
    test(`${file} is valid`, () => assert.is(readJsonFile(file, schema).kind, "valid"));
}

test("docs/reference/commands.md lists the exit codes", () => {
    const documented = [...page("commands").matchAll(/^\| (\d+) \|/gm)].map(match => Number(match[1]));
    assert.equal(documented, Object.values(exitCodes));
});

test.run();
