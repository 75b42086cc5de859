/** Guards against an answer that is not final and yet counts as a refusal, and against a final one that is overlooked. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { isFinalRefusal } from "../finalRefusal";

const statuses: readonly { status: number; isFinal: boolean }[] = [
    ...[200, 204, 299, 408, 421, 429, 500, 503].map(status => ({ status, isFinal: false })),
    ...[300, 304, 400, 401, 403, 404, 413, 431, 499].map(status => ({ status, isFinal: true })),
];

for (const { status, isFinal } of statuses) {
    test(`DENIED: the wrong answers count as final: ${status}`, () => assert.is(isFinalRefusal(status), isFinal));
}

test.run();
