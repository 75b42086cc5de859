/** Guards against texts that the client of an attempt refuses with an exception, or that a receiver reads as another text. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { isSendableHeaderValue, isSendableTarget } from "../index";

const targets = [
    { given: "/", expected: true },
    { given: "/a%20b?c=d&e#f", expected: true },
    { given: "/\u00e9", expected: true },
    { given: "http://calls.example/a", expected: true },
    { given: "*", expected: true },
    { given: "/a?b=!$&'()*+,;=:@/?[]{}|^`\"<>\\%zz#f", expected: true },
    { given: "/\x80\xff", expected: true },
    { given: "", expected: false },
    { given: "/a b", expected: false },
    { given: "/a\tb", expected: false },
    { given: "/a\r\nb", expected: false },
    { given: "/a\u0000", expected: false },
    { given: "/\u0141", expected: false },
    { given: "/\u0100", expected: false },
    { given: "/\t\r\n", expected: false },
    { given: "/\u{1f600}", expected: false },
];
for (const { given, expected } of targets) {
    test(`the target ${JSON.stringify(given)} ${expected ? "can" : "can't"} be sent`, () => {
        assert.is(isSendableTarget(given), expected);
    });
}

const values = [
    { given: "", expected: true },
    { given: "a", expected: true },
    { given: "a b\tc", expected: true },
    { given: "caf\u00e9", expected: true },
    { given: " a", expected: false },
    { given: "a ", expected: false },
    { given: "a\t", expected: false },
    { given: "a\nb", expected: false },
    { given: "a\u0000", expected: false },
    { given: "\u007fa", expected: false },
    { given: "\u0141\u00f3d\u017a", expected: false },
    { given: "\ud83d\ude00", expected: false },
];
for (const { given, expected } of values) {
    test(`the header value ${JSON.stringify(given)} ${expected ? "can" : "can't"} be sent`, () => {
        assert.is(isSendableHeaderValue(given), expected);
    });
}

test.run();
