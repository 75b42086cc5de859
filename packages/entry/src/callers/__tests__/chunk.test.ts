/** The handwritten checks accept exactly the chunks that the `ChatChunk` schema accepts. */
import { ChatChunk } from "@rattanquay/schema";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseChunk } from "../chunk";

const value = fc.oneof(fc.string(), fc.constant(null), fc.constant(undefined), fc.integer(), fc.constant([]));
const delta = fc.oneof(value, fc.record({ content: value }, { requiredKeys: [] }));
const choice = fc.oneof(value, fc.record({ delta, finish_reason: value, index: value }, { requiredKeys: [] }));
const chunk = fc.oneof(value, fc.record({ choices: fc.oneof(value, fc.array(choice)), id: value }));

test("a chunk is valid exactly when the schema accepts it", () => {
    fc.assert(
        fc.property(chunk, given => {
            const data = JSON.stringify(given) ?? "";
            const isValid = data !== "" && ChatChunk.safeParse(JSON.parse(data)).success;
            assert.is(parseChunk(data) !== undefined, isValid);
        }),
        { seed: 7, numRuns: 2_000 },
    );
});

for (const data of ["", "{", "[DONE", '{"choices":[{"delta":{"content":"a"}}]']) {
    test(`"${data}" is invalid`, () => assert.is(parseChunk(data), undefined));
}

test.run();
