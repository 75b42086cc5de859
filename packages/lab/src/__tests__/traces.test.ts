/** Trace context is propagated across each hop, from the caller through the entry instance to the upstream. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerKey, defaultSpec, type EmbeddedCluster, startEmbeddedCluster } from "../cluster";
import { startTraceCollector, type TraceCollector } from "../traces";

const serverKind = 2;
const clientKind = 3;
const callerSpanId = "00f067aa0ba902b7";

let collector: TraceCollector;
let cluster: EmbeddedCluster;

const traceIdOf = (digit: string): string => digit.repeat(32);

const call = async (path: string, digit: string, body: object, headers: Record<string, string> = {}): Promise<void> => {
    const response = await fetch(`http://127.0.0.1:${cluster.entries[0]!.callerPort}${path}`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${callerKey}`,
            "content-type": "application/json",
            traceparent: `00-${traceIdOf(digit)}-${callerSpanId}-01`,
            ...headers,
        },
        body: JSON.stringify(body),
    });
    assert.is(response.status, 200);
    await response.text();
};

test.before(async () => {
    collector = await startTraceCollector();
    cluster = await startEmbeddedCluster({
        ...defaultSpec,
        zones: 1,
        entriesPerZone: 1,
        settings: { traces: { endpoint: `http://127.0.0.1:${collector.port}/v1/traces` } },
    });
    const messages = [{ role: "user", content: "Dropper 4 is bent." }];
    await call("/v1/chat/completions", "a", { model: "assistant", max_tokens: 3, messages });
    await call("/services/bookings/visits", "b", { heater: 9 });
    await call("/services/bookings/visits", "c", { heater: 10 }, { "idempotency-key": "visit-10" });
    await cluster.stop();
});

test.after(() => collector.kill());

const cases = [
    { name: "a chat completion", digit: "a", server: "POST /v1/chat/completions", client: "upstream chat" },
    { name: "a claim", digit: "c", server: "POST /services/bookings/visits", client: "table claim" },
    { name: "a claimed call", digit: "c", server: "POST /services/bookings/visits", client: "upstream call" },
    { name: "a settled claim", digit: "c", server: "POST /services/bookings/visits", client: "table settle" },
    { name: "a plain call", digit: "b", server: "POST /services/bookings/visits", client: "upstream call" },
];

for (const { name, digit, server, client } of cases) {
    test(`${name} has a server and a client span in the caller's trace`, () => {
        const spans = collector.spans().filter(({ traceId }) => traceId === traceIdOf(digit));
        const serverSpan = spans.find(span => span.name === server);
        const clientSpan = spans.find(span => span.name === client);
        assert.is(serverSpan?.kind, serverKind);
        assert.is(serverSpan?.parentSpanId, callerSpanId);
        assert.is(clientSpan?.kind, clientKind);
        assert.is(clientSpan?.parentSpanId, serverSpan?.spanId);
    });
}

test("the upstream receives the client span of its own call as parent", () => {
    const clientSpan = collector.spans().find(({ name }) => name === "upstream call");
    const [booking] = cluster.services[0]!.bookings();
    assert.is(booking?.traceparent, `00-${traceIdOf("b")}-${clientSpan?.spanId}-01`);
});

test.run();
