/** Bytes that arrive in parts of any size come out in order, and take little more memory than they are long. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeByteCollector } from "../index";

const text = "0123456789".repeat(3_000);

for (const partLength of [1, 7, 4_096, text.length]) {
    test(`parts of ${partLength} bytes come out in order, and the collector starts anew`, () => {
        const collector = makeByteCollector();
        for (const round of [text, text.slice(0, 5), ""]) {
            for (let at = 0; at < round.length; at += partLength) {
                collector.push(Buffer.from(round.slice(at, at + partLength)));
            }
            assert.is(collector.size(), round.length);
            assert.is(collector.take().toString(), round);
            assert.is(collector.size(), 0);
        }
    });
}

const bytesPerMb = 1_048_576;
const heldBytes = 262_144;

test("LOST: bytes that are kept in parts of one byte fill the heap", () => {
    const collectors = Array.from({ length: 40 }, makeByteCollector);
    const usedMb = (): number => process.memoryUsage().heapUsed / bytesPerMb;
    const beforeMb = usedMb();
    const part = Buffer.from("A");
    for (const collector of collectors) {
        for (let count = 0; count < heldBytes; count++) {
            collector.push(part);
        }
    }
    assert.ok(usedMb() - beforeMb < 40, `the heap grew by ${Math.round(usedMb() - beforeMb)} MB`);
    assert.ok(collectors.every(collector => collector.size() === heldBytes));
});

test.run();
