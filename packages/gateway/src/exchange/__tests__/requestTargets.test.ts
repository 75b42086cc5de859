/** Guards against a target that passes the check and on which Node's client throws, in the middle of an attempt. */
import { isSendableTarget } from "@rattanquay/core";
import { request } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** The single bytes and some more characters. */
const codes = Array.from({ length: 0x180 }, (unused, code) => code);

/** Whether Node's client takes the target. No connection is opened. */
function isTakenByClient(path: string): boolean {
    try {
        const client = request({ path, agent: false, createConnection: () => undefined as never });
        client.on("error", () => undefined);
        client.destroy();
        return true;
    }
    catch (error) {
        assert.is((error as NodeJS.ErrnoException).code, "ERR_UNESCAPED_CHARACTERS");
        return false;
    }
}

test("the check of a target agrees with Node's client on each character", () => {
    const differing = codes.filter(code => {
        const target = `/a${String.fromCharCode(code)}`;
        return isTakenByClient(target) !== isSendableTarget(target);
    });
    assert.equal(differing, []);
});

test.run();
