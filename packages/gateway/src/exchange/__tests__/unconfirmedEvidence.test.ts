/** What a request is refused by, and what its line says of that, while the configuration in force may not be the newest. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ConfigurationCheck } from "../../clusterState";
import { configuration, maxBodyBytes, startServedRequests, validKey } from "./servedRequests";

const unconfirmed: ConfigurationCheck = {
    isConfirmed: () => false,
    confirm: async () => undefined,
    confirmWithStore: async () => undefined,
};

const head = (path: string, key: string, extra = ""): string =>
    `GET ${path} HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r1\r\napi-key: ${key}\r\n${extra}\r\n`;

async function withUnconfirmed(
    run: (served: Awaited<ReturnType<typeof startServedRequests>>) => Promise<void>,
): Promise<void> {
    const served = await startServedRequests(unconfirmed);
    try {
        await run(served);
    }
    finally {
        served.stop();
    }
}

test("DENIED: a head is refused with 431 by the bound of a configuration that may not be the newest", () =>
    withUnconfirmed(async served => {
        const bounds = { ...configuration.bounds, maxHeaderBytes: 1_000 };
        served.clusterState.applyConfiguration({ ...configuration, bounds }, "peer");
        const padding = `x-padding: ${"x".repeat(1_500)}\r\n`;
        const statusLine = await served.send(head("/lookup/1?seal=1", validKey, padding));
        assert.not.match(statusLine, / 431 /);
    }));

test("DENIED: a body is refused with 413 by the bound of a configuration that may not be the newest", () =>
    withUnconfirmed(async served => {
        served.clusterState.applyConfiguration(configuration, "peer");
        const body = "x".repeat(maxBodyBytes + 1);
        const statusLine = await served.send(
            `POST /lookup/1?seal=1 HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r1\r\napi-key: ${validKey}\r\n`
                + `content-length: ${body.length}\r\n\r\n${body}`,
        );
        assert.not.match(statusLine, / 413 /);
    }));

test("the line of a request that is refused as unconfirmed says by which configuration and how old it was", () =>
    withUnconfirmed(async served => {
        served.clusterState.applyConfiguration(configuration, "peer");
        assert.match(await served.send(head("/lookup/1?seal=1", "some-other-key-00000")), / 503 /);
        const [line] = served.endedLines();
        assert.is(line?.["code"], "unconfirmedConfiguration");
        assert.ok(line?.["decidedOn"] !== undefined, "no decidedOn");
    }));

test.run();
