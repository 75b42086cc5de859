/** Bodies within their bounds, and what becomes of those that are not. */
import { VirtualTimer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readBody, splitAddress } from "../index";

const bounds = { maxBytes: 10, timeoutMs: 1_000 };

const cases = [
    { name: "a body that ends", act: (body: PassThrough) => body.end("whole"), kind: "read" },
    { name: "a body over the bound", act: (body: PassThrough) => body.write("more than ten"), kind: "tooLarge" },
    { name: "a caller that leaves", act: (body: PassThrough) => body.destroy(), kind: "gone" },
    {
        name: "a body that does not end in time",
        act: (unused: PassThrough, timer: VirtualTimer) => timer.advance(1_001),
        kind: "late",
    },
];
for (const { name, act, kind } of cases) {
    test(`${name} is ${kind}, and nothing more of it is kept`, async () => {
        const timer = new VirtualTimer();
        const request = new PassThrough();
        const reading = readBody(request as unknown as IncomingMessage, bounds, timer);
        act(request, timer);
        assert.is((await reading).kind, kind);
        assert.is(request.listenerCount("data"), 0);
    });
}

test("an address is split at its last colon", () => {
    assert.equal(splitAddress("10.0.0.1:8080"), { host: "10.0.0.1", port: 8_080 });
});

test.run();
