/** Guards against a list of instances that is given up while it arrives, or that never ends. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeInstanceListClient } from "../index";

const timeoutMs = 300;
const longestMs = 2_000;
const partMs = 100;
const slackMs = 500;

const cases = [
    {
        name: "DENIED: a process never learns the instances, as a list that goes on arriving is given up",
        given: { parts: 8, ends: true },
        expected: { kind: "done", withinMs: longestMs },
    },
    {
        name: "a list that stalls is given up late",
        given: { parts: 2, ends: false },
        expected: { kind: "unavailable", withinMs: 2 * partMs + timeoutMs + slackMs },
    },
    {
        name: "a silent platform is noticed late",
        given: { parts: 0, ends: false },
        expected: { kind: "unavailable", withinMs: timeoutMs + slackMs },
    },
    {
        name: "a list that goes on for too long never ends",
        given: { parts: 100, ends: true },
        expected: { kind: "unavailable", withinMs: longestMs + slackMs },
    },
];

for (const { name, given, expected } of cases) {
    test(name, async () => {
        const server = createServer((unused, response) => {
            void (async () => {
                for (let part = 0; part < given.parts && !response.destroyed; part++) {
                    response.write(" ");
                    await sleep(systemTimer, partMs);
                }
                if (given.ends) {
                    response.end(JSON.stringify({ instances: [], entries: [] }));
                }
            })();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const client = makeInstanceListClient({
            endpoint: `http://127.0.0.1:${port}/instances`,
            timeoutMs,
            longestMs,
            timer: systemTimer,
        });
        const startMs = systemTimer.nowMs();
        const outcome = await client.list();
        const tookMs = systemTimer.nowMs() - startMs;
        server.close();
        server.closeAllConnections();
        assert.is(outcome.kind, expected.kind);
        assert.ok(tookMs < expected.withinMs, `${tookMs} ms`);
    });
}

test.run();
