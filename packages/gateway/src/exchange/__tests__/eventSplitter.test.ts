/** Whole events out of bytes that come in any pieces. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEventSplitter } from "../eventSplitter";

const splitterCases = [
    { name: "whole events", pieces: ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], ids: [1, 2], rest: false },
    { name: "events cut anywhere", pieces: ["id", ": 1\nda", "ta: a\n", "\nid: 2\n"], ids: [1], rest: true },
    { name: "carriage returns", pieces: ["id: 1\r\ndata: a\r\n\r\n"], ids: [1], rest: false },
    { name: "a line before the id", pieces: ["weight-versions: 2\nid: 5\ndata: a\n\n"], ids: [5], rest: false },
    { name: "a comment", pieces: [": ping\n\n"], ids: [undefined], rest: false },
];
for (const { name, pieces, ids, rest } of splitterCases) {
    test(`event splitter: ${name}`, () => {
        const splitter = makeEventSplitter();
        const events = pieces.flatMap(splitter.push);
        assert.equal(events.map(({ id }) => id), ids);
        assert.is(splitter.hasRest(), rest);
        assert.is(events.map(({ bytes }) => bytes).join(""), rest ? "id: 1\ndata: a\n\n" : pieces.join(""));
    });
}

test.run();
