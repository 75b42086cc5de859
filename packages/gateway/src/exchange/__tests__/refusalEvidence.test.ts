/** Whether the evidence of a final refusal names the bound that decided. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type DecidedOn } from "../finalRefusal";
import { configuration, maxBodyBytes, startServedRequests, validKey } from "./servedRequests";

const raisedBytes = 2 * maxBodyBytes;
const loweredBytes = maxBodyBytes / 2;

const cases = [
    {
        name: "the line of a body that is too large names the bound of its arrival, not the larger one that decided",
        changedBytes: raisedBytes,
        decidingBytes: raisedBytes,
    },
    {
        name:
            "the line of a body that is too large names a bound that is lower than the one of its arrival, which decided",
        changedBytes: loweredBytes,
        decidingBytes: maxBodyBytes,
    },
];

for (const { name, changedBytes, decidingBytes } of cases) {
    test(name, async () => {
        const served = await startServedRequests();
        try {
            served.clusterState.applyConfiguration(configuration, "store");
            const socket = connect(served.port, "127.0.0.1");
            socket.on("error", () => undefined);
            socket.write(
                `POST /lookup/1?seal=1 HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r1\r\napi-key: ${validKey}\r\n`
                    + "transfer-encoding: chunked\r\n\r\n",
            );
            const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
            socket.write(chunk(maxBodyBytes - 100));
            await sleep(systemTimer, 100);
            const bounds = { ...configuration.bounds, maxBodyBytes: changedBytes };
            served.clusterState.applyConfiguration({ ...configuration, version: 6, bounds }, "store");
            socket.write(chunk(raisedBytes));
            await sleep(systemTimer, 200);
            socket.destroy();
            const [line] = served.endedLines();
            assert.is(line?.["code"], "bodyTooLarge");
            const decidedOn = line?.["decidedOn"] as DecidedOn | undefined;
            assert.is(decidedOn?.maxBodyBytes, decidingBytes);
            assert.is(decidedOn?.bodyBytes, maxBodyBytes - 100 + raisedBytes);
            assert.is(decidedOn?.configVersion, 6);
        }
        finally {
            served.stop();
        }
    });
}

test.run();
