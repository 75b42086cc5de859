/**
 * What becomes of a request that the configuration in force does not allow, while that may not be the newest. Guards against a
 * final answer, and against a wait that spoils the connection, the body or the account of what is held.
 */
import { sleep, systemTimer } from "@rattanquay/timer";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ConfigurationCheck } from "../../clusterState";
import { type DecidedOn } from "../finalRefusal";
import { configuration, maxBodyBytes, type ServedRequests, startServedRequests, validKey } from "./servedRequests";

const addedKey = "added-key-00000000000";
const waitMs = 150;
const leftMs = 50;

/** Has a check that answers after `waitMs`, when `onAnswer` has run and says whether the configuration is confirmed. */
async function withServed(
    onAnswer: (served: ServedRequests) => boolean,
    run: (served: ServedRequests) => Promise<void>,
): Promise<void> {
    let isConfirmed = false;
    const check: ConfigurationCheck = {
        isConfirmed: () => isConfirmed,
        confirm: async () => {
            await sleep(systemTimer, waitMs);
            isConfirmed = onAnswer(served);
        },
        confirmWithStore: async () => undefined,
    };
    const served = await startServedRequests(check);
    served.clusterState.applyConfiguration(configuration, "peer");
    try {
        await run(served);
    }
    finally {
        served.stop();
    }
}

const post = (path: string, key: string, body: string): string =>
    `POST ${path} HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r1\r\napi-key: ${key}\r\n`
    + `content-length: ${body.length}\r\n\r\n${body}`;
const served200 = "/lookup/1?seal=1";
const addKey = ({ clusterState }: ServedRequests): void => {
    const workspaces = [{ workspace: "alpha", keys: [validKey, addedKey] }];
    clusterState.applyConfiguration({ ...configuration, version: 6, workspaces }, "store");
};
const addRoute = ({ clusterState }: ServedRequests): void => {
    const [lookup] = configuration.routes;
    const routes = [...configuration.routes, { ...lookup!, name: "added", prefix: "/added/" }];
    clusterState.applyConfiguration({ ...configuration, version: 6, routes }, "store");
};

const cases: readonly {
    name: string;
    path?: string;
    onAnswer: (served: ServedRequests) => boolean;
    statuses: readonly number[];
    code: string;
}[] = [
    {
        name: "nothing confirms a wrong key",
        onAnswer: () => false,
        statuses: [503, 200],
        code: "unconfirmedConfiguration",
    },
    {
        name: "nothing confirms a wrong path",
        path: "/added/1?seal=1",
        onAnswer: () => false,
        statuses: [503, 200],
        code: "unconfirmedConfiguration",
    },
    { name: "a wrong key is confirmed to be wrong", onAnswer: () => true, statuses: [401, 200], code: "unknownKey" },
    {
        name: "the key comes with the answer",
        onAnswer: served => {
            addKey(served);
            return true;
        },
        statuses: [200, 200],
        code: "ok",
    },
    {
        name: "the key comes from a peer that confirms nothing",
        onAnswer: served => {
            addKey(served);
            return false;
        },
        statuses: [200, 200],
        code: "ok",
    },
    {
        name: "the route comes with the answer",
        path: "/added/1?seal=1",
        onAnswer: served => {
            addRoute(served);
            return true;
        },
        statuses: [200, 200],
        code: "ok",
    },
];

for (const { name, path = served200, onAnswer, statuses, code } of cases) {
    test(`DENIED: ${name}; the body and the next request on the connection are intact`, () =>
        withServed(onAnswer, async served => {
            const key = path === served200 ? addedKey : validKey;
            const requests = post(path, key, "first body") + post(served200, validKey, "second");
            const received = await served.sendAll(requests, statuses.length);
            const seen = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
            assert.equal(seen, statuses);
            // The second request doesn't wait, so it may end before the first one.
            assert.equal(served.endedLines().map(line => line["code"]).sort(), [code, "ok"].sort());
            assert.equal([...served.bodies].sort(), statuses[0] === 200 ? ["first body", "second"] : ["second"]);
            assert.is(served.heldBytes(), 0);
        }));
}

const raisedBytes = 2 * maxBodyBytes;
const setBounds = (bounds: Partial<typeof configuration.bounds>) => ({ clusterState }: ServedRequests): void => {
    const changed = { ...configuration.bounds, ...bounds };
    clusterState.applyConfiguration({ ...configuration, version: 7, bounds: changed }, "store");
};
const smallHeads = { ...configuration, version: 6, bounds: { ...configuration.bounds, maxHeaderBytes: 1_000 } };
const largeHead = post(served200, validKey, "{}").replace("\r\n\r\n", `\r\nx-padding: ${"x".repeat(2_000)}\r\n\r\n`);
const largeBody = post(served200, validKey, "x".repeat(raisedBytes));
const chunkedBody = largeBody.replace(/content-length[^]*/, "transfer-encoding: chunked\r\n\r\n")
    + `${raisedBytes.toString(16)}\r\n${"x".repeat(raisedBytes)}\r\n0\r\n\r\n`;

const boundCases: readonly {
    name: string;
    text: string;
    change?: (served: ServedRequests) => void;
    isConfirmed: boolean;
    status: number;
    code: string;
}[] = [
    {
        name: "a head is confirmed to be too large",
        text: largeHead,
        isConfirmed: true,
        status: 431,
        code: "headTooLarge",
    },
    {
        name: "a larger bound of heads comes with the answer",
        text: largeHead,
        change: setBounds({ maxHeaderBytes: 4_000 }),
        isConfirmed: true,
        status: 200,
        code: "ok",
    },
    ...[{ framing: "with a length", text: largeBody }, { framing: "in chunks", text: chunkedBody }].flatMap((
        { framing, text },
    ) => [
        {
            name: `a body ${framing} is confirmed to be too large`,
            text,
            isConfirmed: true,
            status: 413,
            code: "bodyTooLarge",
        },
        {
            name: `a larger bound than that of a body ${framing} comes with the answer`,
            text,
            change: setBounds({ maxBodyBytes: raisedBytes }),
            isConfirmed: true,
            status: 503,
            code: "unconfirmedConfiguration",
        },
        {
            name: `nothing confirms that a body ${framing} is too large`,
            text,
            isConfirmed: false,
            status: 503,
            code: "unconfirmedConfiguration",
        },
    ]),
];

for (const { name, text, change, isConfirmed, status, code } of boundCases) {
    test(`DENIED: ${name}; a body that is not read closes its connection`, () =>
        withServed(served => {
            change?.(served);
            return isConfirmed;
        }, async served => {
            served.clusterState.applyConfiguration(smallHeads, "peer");
            const received = await served.sendAll(text, 1);
            assert.is(Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1]), status);
            const [line, ...others] = served.endedLines();
            assert.equal([line!["code"], ...others], [code]);
            const decidedOn = line!["decidedOn"] as DecidedOn | undefined;
            const version = status === 200 ? undefined : change === undefined ? 6 : 7;
            assert.is(decidedOn?.configVersion, version);
            assert.is(decidedOn?.bodyBytes !== undefined, status !== 200 && text !== largeHead);
            const { values } = await served.metrics.finalRefusals.get();
            assert.is(values.length, status === 200 || status === 503 ? 0 : 1);
            assert.is(/connection: close/i.test(received), text !== largeHead);
            assert.is(served.bodies.length, status === 200 ? 1 : 0);
            assert.is(served.heldBytes(), 0);
        }));
}

test("DENIED: a refusal that is not final closes the connection of a body that is still to come", () =>
    withServed(() => false, async served => {
        const text = post(served200, addedKey, "x".repeat(500)).slice(0, -300);
        const received = await served.sendAll(text, 1);
        assert.match(received, /^HTTP\/1\.1 503 /);
        assert.match(received.toLowerCase(), /connection: close/);
    }));

test("DENIED: a connection stays open and unread behind a body that is too large and arrived whole during a wait", () =>
    withServed(served => {
        addKey(served);
        return true;
    }, async served => {
        const socket = connect(served.port, "127.0.0.1");
        let received = "";
        let isClosed = false;
        socket.on("error", () => undefined);
        socket.on("close", () => isClosed = true);
        socket.on("data", bytes => received += bytes.toString("latin1"));
        socket.write(post(served200, addedKey, "x".repeat(raisedBytes)));
        await sleep(systemTimer, 2 * waitMs);
        assert.match(received, /^HTTP\/1\.1 413 /);
        socket.write(post(served200, validKey, "second"));
        await sleep(systemTimer, 1_000);
        const isAnswered = / 200 /.test(received);
        socket.destroy();
        assert.ok(isAnswered || isClosed, "neither an answer to the next request nor a closed connection");
    }));

test("DENIED: a body that is too large, whose caller leaves during the wait, ends once and is not held", () =>
    withServed(() => false, async served => {
        const socket = connect(served.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(chunkedBody.slice(0, -raisedBytes / 4));
        await sleep(systemTimer, leftMs);
        socket.destroy();
        await sleep(systemTimer, 2 * waitMs);
        assert.is(served.endedLines().length, 1);
        assert.equal(served.bodies, []);
        assert.is(served.heldBytes(), 0);
    }));

test("DENIED: a request whose caller leaves during the wait ends once, and is not sent on", () =>
    withServed(served => {
        addKey(served);
        return true;
    }, async served => {
        const socket = connect(served.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(post(served200, addedKey, "{}"));
        await sleep(systemTimer, leftMs);
        socket.destroy();
        await sleep(systemTimer, 2 * waitMs);
        assert.equal(served.endedLines().map(line => line["code"]), ["callerGone"]);
        assert.equal(served.bodies, []);
        assert.is(served.heldBytes(), 0);
    }));

test.run();
