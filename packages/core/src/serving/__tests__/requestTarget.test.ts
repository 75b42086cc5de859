/** Guards against 404 for a route that a caller names by an absolute target, as HTTP/1.1 allows (DENIED). */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { pathOfTarget } from "../index";

const host = "calls.example:8080";
const cases = [
    { target: "/lookup/x?a=b", path: "/lookup/x?a=b" },
    { target: "http://calls.example:8080/lookup/x?a=b", path: "/lookup/x?a=b" },
    { target: "HTTPS://Calls.Example:8080/lookup/x", path: "/lookup/x" },
    { target: "http://calls.example:8080", path: "/" },
    { target: "http://calls.example:8080?a=b", path: "/?a=b" },
    { target: "http://other.example/lookup/x", path: "http://other.example/lookup/x" },
    { target: "http://calls.example/lookup/x", path: "http://calls.example/lookup/x" },
    { target: "/lookup/http://calls.example:8080/x", path: "/lookup/http://calls.example:8080/x" },
    { target: "*", path: "*" },
    { target: "", path: "" },
];
for (const { target, path } of cases) {
    test(`the path of the target ${JSON.stringify(target)}`, () => {
        assert.is(pathOfTarget(target, host), path);
    });
}

test("without a Host header, an absolute target stays as it is", () => {
    assert.is(pathOfTarget("http://calls.example/lookup/x", undefined), "http://calls.example/lookup/x");
});

test.run();
