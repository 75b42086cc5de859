/** Guards against a final refusal by a configuration that may not be the newest, and against one that is withheld in calm. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { maxConfirmationAgeMs, mayRefuseFinally } from "../configurationCurrency";

const nowMs = 50_000;
const confirmed = { version: 7, confirmedAtMs: nowMs - 400, newestKnownVersion: 7 };
const cases = [
    { name: "no configuration", currency: undefined, expected: false },
    { name: "confirmed lately", currency: confirmed, expected: true },
    {
        name: "confirmed as long ago as allowed",
        currency: { ...confirmed, confirmedAtMs: nowMs - maxConfirmationAgeMs },
        expected: true,
    },
    {
        name: "confirmed too long ago",
        currency: { ...confirmed, confirmedAtMs: nowMs - maxConfirmationAgeMs - 1 },
        expected: false,
    },
    { name: "never confirmed", currency: { ...confirmed, confirmedAtMs: undefined }, expected: false },
    { name: "a newer version was announced", currency: { ...confirmed, newestKnownVersion: 8 }, expected: false },
] as const;
for (const { name, currency, expected } of cases) {
    test(`DENIED: ${name}`, () => {
        assert.is(mayRefuseFinally(currency, nowMs), expected);
    });
}

test.run();
