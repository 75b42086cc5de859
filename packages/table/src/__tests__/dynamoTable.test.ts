/** Guards against lists that are given up while they arrive, that start over, or that never end. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeDynamoTable } from "../index";

const timeoutMs = 300;
const longestReadMs = 3_000;
const partMs = 100;
const pages = 3;

type Answer = (response: ServerResponse, body: string) => Promise<void> | void;

const atOnce: Answer = (response, body) => void response.end(body);
const stalled: Answer = (response, body) => void response.write(body.slice(0, 1));
const refused: Answer = response => void response.writeHead(500).end("{}");
/** Sends the body in parts, each in less than the time limit. */
const inParts = (parts: number): Answer => async (response, body) => {
    for (let part = 0; part < parts && !response.destroyed; part++) {
        response.write(" ");
        await sleep(systemTimer, partMs);
    }
    response.end(body);
};

/** `answers` are those to the requests in their order; later requests are answered at once. */
const cases: readonly {
    readonly name: string;
    readonly answers: readonly Answer[];
    readonly expected: readonly number[];
    readonly kind: "done" | "unavailable";
}[] = [
    {
        name: "DENIED: a list whose pages take longer than the time limit is given up",
        answers: [inParts(6), inParts(6), inParts(6)],
        expected: [0, 1, 2],
        kind: "done",
    },
    {
        name: "DENIED: a list starts over when a page stalls",
        answers: [atOnce, stalled],
        expected: [0, 1, 1, 2],
        kind: "done",
    },
    {
        name: "DENIED: a list starts over when a page is refused",
        answers: [atOnce, atOnce, refused, refused],
        expected: [0, 1, 2, 2, 2],
        kind: "done",
    },
    {
        name: "a list repeats a page without end",
        answers: [atOnce, refused, refused, refused, refused, refused],
        expected: [0, 1, 1, 1],
        kind: "unavailable",
    },
    { name: "a table that is silent is noticed late", answers: [stalled], expected: [0], kind: "unavailable" },
    {
        name: "a list that goes on for too long never ends",
        answers: [inParts(100)],
        expected: [0],
        kind: "unavailable",
    },
];

for (const { name, answers, expected, kind } of cases) {
    test(name, async () => {
        const asked: number[] = [];
        const server = createServer((request, response) => {
            let text = "";
            request.on("data", data => text += data);
            request.on("end", () => {
                const { ExclusiveStartKey } = JSON.parse(text) as { ExclusiveStartKey?: { key: { S: string } } };
                const page = Number(ExclusiveStartKey?.key.S ?? -1) + 1;
                const answer = answers[asked.length] ?? atOnce;
                asked.push(page);
                const key = { partition: { S: "p" }, key: { S: String(page) } };
                const Items = [{ ...key, version: { N: "1" }, token: { S: "t" }, body: { S: "1" } }];
                const LastEvaluatedKey = page + 1 < pages ? key : undefined;
                response.setHeader("content-type", "application/x-amz-json-1.0");
                void answer(response, JSON.stringify({ Items, Count: 1, LastEvaluatedKey }));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const table = makeDynamoTable({
            endpoint: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
            region: "local",
            tableName: "rattanquay",
            timeoutMs,
            longestReadMs,
            credentials: { accessKeyId: "lab", secretAccessKey: "lab" },
        });
        const startMs = systemTimer.nowMs();
        const outcome = await table.list("p");
        const tookMs = systemTimer.nowMs() - startMs;
        table.stop();
        server.close();
        server.closeAllConnections();
        assert.equal(asked, expected);
        assert.is(outcome.kind, kind);
        assert.ok(tookMs < (answers[0] === stalled ? longestReadMs / 2 : longestReadMs + timeoutMs), `${tookMs} ms`);
        if (outcome.kind === "done") {
            assert.equal(outcome.value.map(row => row.key), ["0", "1", "2"]);
        }
    });
}

test.run();
