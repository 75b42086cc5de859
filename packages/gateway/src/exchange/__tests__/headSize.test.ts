/** How large a head counts. Guards against refusing a head that its caller has kept within the bound (DENIED). */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { countHeadBytes } from "../headSize";

const cases = [
    { name: "without fields", text: "GET / HTTP/1.1\r\n\r\n", rawHeaders: [], unseen: 0 },
    { name: "with a field", text: "GET / HTTP/1.1\r\nHost:a\r\n\r\n", rawHeaders: ["Host", "a"], unseen: 0 },
    {
        name: "with spaces around a value",
        text: "GET / HTTP/1.1\r\nHost:  a \r\n\r\n",
        rawHeaders: ["Host", "a"],
        unseen: 3,
    },
    {
        name: "with repeated fields and bytes over 0x7f",
        text: "GET / HTTP/1.1\r\nX:\xe9\r\nX:\xff\r\n\r\n",
        rawHeaders: ["X", "\xe9", "X", "\xff"],
        unseen: 0,
    },
];

for (const { name, text, rawHeaders, unseen } of cases) {
    test(`a head ${name} counts its bytes, and no more`, () => {
        const bytes = Buffer.from(text, "latin1").length;
        assert.is(countHeadBytes({ method: "GET", url: "/", rawHeaders }), bytes - unseen);
    });
}

test.run();
