/** Answers of a plain service that no caller may get as they are, through separate entry processes. */
import { Ticket } from "@rattanquay/schema";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, type ProcessCluster, startProcessCluster, submit, ticketFor, waitUntil } from "../cluster";
import { callService } from "../load";

const waitMs = 10_000;
const spec = { ...defaultSpec, zones: 1, entriesPerZone: 2 };
const soundAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

let cluster: ProcessCluster;
let service: Server;
/** Writes the answer to a request that has arrived. */
let answer: (socket: Socket) => void;
let nextKey = 0;

/** A service whose answers are written byte for byte. */
async function startRawService(): Promise<number> {
    service = createServer(socket => {
        let text = "";
        socket.on("error", () => undefined);
        socket.on("data", bytes => {
            text += bytes.toString("latin1");
            if (text.endsWith("{}")) {
                text = "";
                answer(socket);
            }
        });
    });
    await new Promise<void>(resolve => service.listen(0, "127.0.0.1", resolve));
    return (service.address() as { readonly port: number }).port;
}

test.before(async () => {
    cluster = await startProcessCluster(spec);
    const ticket = Ticket.parse(ticketFor(spec, { ticket: 2, servicePorts: [await startRawService()] }));
    const port = cluster.entries[0]!.ports.operators;
    await waitUntil("ticket 2 to be accepted", waitMs, async () => (await submit(port, ticket)).kind === "accepted");
    answer = socket => socket.write(soundAnswer);
    for (const entry of cluster.entries) {
        await waitUntil("ticket 2 to be in force", waitMs, async () => (await call(entry.port)).body === "ok");
    }
});
test.after(() => {
    service.close();
    return cluster.stop();
});

const call = (port: number, idempotencyKey?: string) =>
    callService({
        port,
        path: "/services/bookings/visits",
        body: "{}",
        ...idempotencyKey === undefined ? {} : { idempotencyKey },
    });
const isRunning = (): boolean =>
    cluster.entries.every(({ child }) => child.exitCode === null && child.signalCode === null);

const head = (line: string): string => `HTTP/1.1 ${line}\r\ncontent-length: 2\r\n\r\nok`;
const oddHeads = [
    { name: "status 000", text: head("000 Odd") },
    { name: "status 000 without a reason", text: head("000") },
    { name: "status 001", text: head("001 Odd") },
    { name: "status 099", text: head("099 Odd") },
    { name: "status 101", text: head("101 Odd") },
    { name: "status 600", text: head("600 Odd") },
    { name: "status 999", text: head("999 Odd") },
    { name: "an unknown transfer coding", text: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok" },
];

for (const { name, text } of oddHeads) {
    for (const hasKey of [false, true]) {
        test(`MIXED: an answer with ${name} ends no process and reaches no caller, ${hasKey ? "with" : "without"} a key`, async () => {
            const key = hasKey ? `odd-${nextKey++}` : undefined;
            const [first, second] = cluster.entries;
            answer = socket => socket.end(text);
            const odd = await call(first!.port, key);
            assert.equal([odd.status, odd.errorCode], [502, "upstreamFailed"]);
            answer = socket => socket.write(soundAnswer);
            const repeated = await call(second!.port, key);
            assert.equal(hasKey ? repeated.errorCode : repeated.body, hasKey ? "inDoubt" : "ok");
            assert.ok(isRunning());
        });
    }
}

const part = "a part of an answer ".repeat(2_000);
const unmarkedHead = "HTTP/1.1 200 OK\r\n\r\n";

test("MIXED: an answer without a marked end that is reset after its last bytes is not whole", async () => {
    for (let round = 0; round < 20; round++) {
        answer = socket => {
            socket.write(`${unmarkedHead}${part}`);
            socket.resetAndDestroy();
        };
        const { status, errorCode } = await call(cluster.entries[0]!.port, `reset-${round}`);
        assert.equal([status, errorCode], [502, "upstreamFailed"]);
    }
});

test("an answer without a marked end whose connection is closed is whole", async () => {
    answer = socket => void socket.end(`${unmarkedHead}${part}`);
    const { status, body } = await call(cluster.entries[0]!.port);
    assert.is(status, 200);
    assert.ok(body === part);
});

test.run();
