/** The `fault` command sets a stand-in's fault and clears it. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callService } from "../../load";
import { type ServiceStandIn, startService } from "../../service";
import { runFault } from "..";

let service: ServiceStandIn;

test.before(async () => {
    service = await startService();
});

test.after(() => service.kill());

const cases = [
    { name: "a cut connection", args: (port: string) => ["--port", port, '{"cut":"beforeRun"}'], code: 0, status: 0 },
    {
        name: "an empty object, which clears the fault,",
        args: (port: string) => ["--port", port, "{}"],
        code: 0,
        status: 200,
    },
    { name: "invalid JSON", args: (port: string) => ["--port", port, "cut"], code: 2, status: 200 },
    { name: "no port", args: () => ["{}"], code: 2, status: 200 },
    { name: "a stand-in that does not run", args: () => ["--port", "9", "{}"], code: 1, status: 200 },
];

for (const { name, args, code, status } of cases) {
    test(`the fault command with ${name} exits with ${code}`, async () => {
        assert.is(await runFault(args(String(service.port))), code);
        const answer = await callService({ port: service.port, path: "/visits", body: "{}" });
        assert.is(answer.status, status);
    });
}

test.run();
