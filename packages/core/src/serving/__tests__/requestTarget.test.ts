/** Which targets can be sent on. Guards against answering 400 for a target that an upstream could have served (DENIED). */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findTargetFault, type TargetFault } from "../requestTarget";

const cases: readonly { readonly name: string; readonly target: string; readonly expected: TargetFault | undefined }[] =
    [
        { name: "a path", target: "/lookup/x", expected: undefined },
        { name: "a query with all marks", target: "/a?b=!$&'()*+,;=:@/?[]{}|^`\"<>\\%zz#f", expected: undefined },
        { name: "bytes over 0x7f", target: "/\x80\xff", expected: undefined },
        { name: "an absolute form", target: "http://calls.example/lookup/x", expected: undefined },
        { name: "nothing", target: "", expected: { kind: "empty" } },
        { name: "a space", target: "/a b", expected: { kind: "character", index: 2, code: 0x20 } },
        { name: "a tab and a line end", target: "/\t\r\n", expected: { kind: "character", index: 1, code: 0x09 } },
        { name: "a null", target: "/abc\0", expected: { kind: "character", index: 4, code: 0 } },
        { name: "a character over 0xff", target: "/\u0100", expected: { kind: "character", index: 1, code: 0x100 } },
        { name: "a surrogate pair", target: "/\u{1f600}", expected: { kind: "character", index: 1, code: 0xd83d } },
    ];

for (const { name, target, expected } of cases) {
    test(`a target with ${name} ${expected === undefined ? "can" : "cannot"} be sent`, () => {
        assert.equal(findTargetFault(target), expected);
    });
}

test.run();
