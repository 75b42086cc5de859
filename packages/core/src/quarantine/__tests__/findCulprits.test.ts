import { type Prompt } from "@rattanquay/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findCulprits, type StandingCrash } from "../findCulprits";

/** Reads "s+p" as a prompt of the workspace "alpha", and "beta:s+p" as one of "beta". */
const readPrompt = (text: string): Prompt => {
    const [segments, workspace = "alpha"] = text.split(":").reverse();
    return { workspace, segments: segments!.split("+") };
};
const crash = (atMs: number, ...prompts: readonly string[]): StandingCrash => ({
    crash: `i-${atMs}`,
    atMs,
    prompts: prompts.map(readPrompt),
});
const manyPrompts = (prefix: string): readonly string[] =>
    Array.from({ length: 20 }, (unused, index) => `${prefix}${index}`);

type Case = {
    readonly name: string;
    readonly crashes: readonly StandingCrash[];
    readonly quarantined?: readonly (readonly string[])[];
    readonly knownSound?: readonly string[];
    readonly expected: readonly (readonly string[])[];
};

const cases: readonly Case[] = [
    { name: "no crash, no culprit", crashes: [], expected: [] },
    { name: "one crash proves nothing", crashes: [crash(0, "s+p")], expected: [] },
    {
        name: "a segment at two crashes that was never sound, beside one that was",
        crashes: [crash(0, "s+p"), crash(400, "s+p")],
        knownSound: ["s"],
        expected: [["p"]],
    },
    {
        name: "segments that nothing distinguishes are held back only together",
        crashes: [crash(0, "s+p"), crash(400, "s+p")],
        expected: [["p", "s"]],
    },
    {
        name: "a third crash with another companion narrows it down",
        crashes: [crash(0, "s+p"), crash(400, "s+p"), crash(900, "t+p")],
        quarantined: [["p", "s"]],
        expected: [["p"]],
    },
    {
        name: "two upstreams that end at the same moment may have lost their power",
        crashes: [crash(0, "s+x"), crash(40, "s+x")],
        expected: [],
    },
    {
        name: "three upstreams that end at the same moment under a segment that was never sound",
        crashes: [crash(0, "s+p"), crash(40, "s+p"), crash(60, "t+p")],
        knownSound: ["s", "t"],
        expected: [["p"]],
    },
    {
        name: "ten upstreams that lose their power together do not accuse a segment in common use",
        crashes: Array.from({ length: 10 }, (unused, index) => crash(index * 10, "s")),
        knownSound: ["s"],
        expected: [],
    },
    {
        name: "two kills in a row do not accuse a segment in common use",
        crashes: [crash(0, "s"), crash(900, "s")],
        knownSound: ["s"],
        expected: [],
    },
    {
        name: "a segment that was sound before and now ends each upstream needs three crashes",
        crashes: [crash(0, "s+p", "t"), crash(400, "t+p"), crash(900, "u+p")],
        knownSound: ["s", "t", "u", "p"],
        expected: [["p"]],
    },
    {
        name: "many waiting requests that moved together from one upstream to the next are no explanation",
        crashes: [crash(0, ...manyPrompts("t")), crash(400, ...manyPrompts("t"))],
        expected: [],
    },
    {
        name: "among many that moved together, the one that goes on ending upstreams",
        crashes: [crash(0, ...manyPrompts("t"), "p"), crash(400, ...manyPrompts("t"), "p"), crash(800, "p+u")],
        expected: [["p"]],
    },
    {
        name: "crashes that a quarantine explains accuse nothing else",
        crashes: [crash(0, "s+p", "x"), crash(400, "s+p", "x"), crash(900, "s+p")],
        quarantined: [["p"]],
        knownSound: ["s"],
        expected: [],
    },
    {
        name: "a second segment beside one that is quarantined",
        crashes: [crash(0, "s+p"), crash(400, "s+p"), crash(900, "s+q"), crash(1_500, "t+q")],
        quarantined: [["p"]],
        knownSound: ["s", "t"],
        expected: [["q"]],
    },
    {
        name: "two segments at the same time",
        crashes: [crash(0, "s+p"), crash(300, "s+q"), crash(700, "s+p"), crash(1_000, "s+q")],
        knownSound: ["s"],
        expected: [["p"], ["q"]],
    },
];

for (const { name, crashes, quarantined = [], knownSound = [], expected } of cases) {
    test(`culprits: ${name}`, () => {
        const isKnownSound = (segment: string): boolean => knownSound.includes(segment);
        const holds = quarantined.map(segments => ({ segments }));
        const culprits = findCulprits({ crashes, quarantined: holds, isKnownSound });
        assert.equal(culprits.map(({ segments }) => segments), expected);
    });
}

const ownerCases = [
    { name: "prompts of one workspace", prompts: ["s+p", "s+p"], expected: "alpha" },
    { name: "prompts of two workspaces", prompts: ["s+p", "beta:t+p"], expected: undefined },
];
for (const { name, prompts, expected } of ownerCases) {
    test(`culprits: whose requests are held back after crashes under ${name}`, () => {
        const crashes = prompts.map((prompt, index) => crash(index * 500, prompt));
        const isKnownSound = (segment: string): boolean => segment !== "p";
        const [culprit] = findCulprits({ crashes, quarantined: [], isKnownSound });
        assert.equal([culprit!.segments, culprit!.workspace], [["p"], expected]);
    });
}

test("culprits: a crash under a prompt of another workspace is not explained by the quarantine of one", () => {
    const crashes = [crash(0, "s+p"), crash(500, "s+p"), crash(9_000, "beta:t+p")];
    const quarantined = [{ segments: ["p"], workspace: "alpha" }];
    const [culprit] = findCulprits({ crashes, quarantined, isKnownSound: segment => segment !== "p" });
    assert.equal([culprit!.segments, culprit!.workspace], [["p"], undefined]);
});

test.run();
