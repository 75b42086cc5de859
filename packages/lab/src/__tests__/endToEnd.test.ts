/** End-to-end calls from caller to upstream through separate processes. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callOperatorApi, defaultSpec, type ProcessCluster, startProcessCluster } from "../cluster";
import { expectedText } from "../engine";
import { callChat, callService } from "../load";

let cluster: ProcessCluster;
const messages = [{ role: "user", content: "Contact wire wear at mast 12: 21 per cent. Draft the finding." }];

test.before(async () => {
    cluster = await startProcessCluster(defaultSpec);
});

test.after(() => cluster.stop());

test("every entry instance streams a complete response", async () => {
    for (const { port } of cluster.entries) {
        const result = await callChat({ port, messages, maxTokens: 20 });
        assert.is(result.errorCode, undefined);
        assert.ok(result.whole);
        assert.is(result.text, expectedText(messages, 20));
    }
});

test("a response without streaming is one JSON body", async () => {
    const response = await fetch(`http://127.0.0.1:${cluster.entries[0]!.port}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: "Bearer lab-workspace-key" },
        body: JSON.stringify({ model: "assistant", messages, max_tokens: 12 }),
    });
    const body = await response.json() as { choices: { message: { content: string }; finish_reason: string }[] };
    assert.is(body.choices[0]!.message.content, expectedText(messages, 12));
    assert.is(body.choices[0]!.finish_reason, "stop");
});

test("calls with the same idempotency key run once, whichever entry instance receives them", async () => {
    const call = { path: "/services/bookings/visits", body: '{"heater":7}', idempotencyKey: "visit-7" };
    const answers = [];
    for (const { port } of cluster.entries) {
        answers.push(await callService({ ...call, port }));
    }
    assert.equal(new Set(answers.map(answer => answer.body)).size, 1);
    const bookings = await (await fetch(`http://127.0.0.1:${cluster.services[0]!.port}/lab/bookings`))
        .json() as unknown[];
    assert.is(bookings.length, 1);
});

const errorCases = [
    { name: "no key", key: "", model: "assistant", body: undefined, status: 401, code: "missingKey" },
    { name: "a wrong key", key: "nobody", model: "assistant", body: undefined, status: 401, code: "wrongKey" },
    {
        name: "an unknown model",
        key: "lab-workspace-key",
        model: "nothing",
        body: undefined,
        status: 404,
        code: "unknownModel",
    },
    { name: "bad JSON", key: "lab-workspace-key", model: "assistant", body: "{", status: 400, code: "malformedJson" },
    {
        name: "no messages",
        key: "lab-workspace-key",
        model: "assistant",
        body: '{"model":"assistant"}',
        status: 400,
        code: "invalidRequest",
    },
    {
        name: "a body too large",
        key: "lab-workspace-key",
        model: "assistant",
        body: "x".repeat(1_100_000),
        status: 413,
        code: "bodyTooLarge",
    },
];

for (const { name, key, model, body, status, code } of errorCases) {
    test(`${name} gets an error code and a request id`, async () => {
        const response = await fetch(`http://127.0.0.1:${cluster.entries[0]!.port}/v1/chat/completions`, {
            method: "POST",
            headers: key === "" ? {} : { authorization: `Bearer ${key}` },
            body: body ?? JSON.stringify({ model, messages }),
        });
        const answer = await response.json() as { error: { code: string; outcome: string; request_id: string } };
        assert.is(response.status, status);
        assert.is(answer.error.code, code);
        assert.is(answer.error.outcome, "notRun");
        assert.is(answer.error.request_id, response.headers.get("x-request-id"));
    });
}

test("a repeated ticket gets the same verdict, and an older one is refused with the newer number", async () => {
    const port = cluster.entries[1]!.ports.operators;
    const ticket = {
        ticket: 5,
        author: "a",
        workspaces: { night: { keySha256: ["0".repeat(64)], services: ["assistant"] } },
    };
    const first = await callOperatorApi(port, "/v1/tickets", ticket);
    assert.equal(await callOperatorApi(port, "/v1/tickets", ticket), first);
    const other = await callOperatorApi(port, "/v1/tickets", { ...ticket, author: "b" }) as { kind: string };
    assert.is(other.kind, "numberTaken");
    const older = await callOperatorApi(port, "/v1/tickets", { ...ticket, ticket: 4 }) as { kind: string; by: number };
    assert.equal([older.kind, older.by], ["overtaken", 5]);
});

test.run();
