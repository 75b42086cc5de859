/**
 * A call that waited for a replica or a claim is not sent when meanwhile its deadline has passed, its caller has
 * disconnected, or its upstream was removed.
 */
import { emptySnapshot, makeRetryBudget, type Snapshot } from "@rattanquay/core";
import { type ClaimRow, Settings } from "@rattanquay/schema";
import { makeTracing, silentLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { createServer, IncomingMessage, type Server, ServerResponse } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type HandlerContext } from "../callerListener";
import { type Exchange } from "../exchange";
import { servePlain } from "../plain";

const timeoutMs = 1_000;
let upstream: Server;
let received = 0;

test.before(async () => {
    upstream = createServer((unusedRequest, response) => {
        received++;
        response.end("booked");
    });
    await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", resolve));
});
test.before.each(() => {
    received = 0;
});
test.after(() => void upstream.close());

const addressOf = (): string => `127.0.0.1:${(upstream.address() as AddressInfo).port}`;

function snapshotWith(address: string): Snapshot {
    const upstreams = [{ address, availabilityZone: "zone-a" }];
    const service = { kind: "plain", upstreams, repeatable: [], concurrency: 1, priority: 0, timeoutMs };
    return {
        ...emptySnapshot,
        services: new Map([["bookings", service]]),
        workspaces: new Map([["w", { services: ["bookings"] }]]),
    } as unknown as Snapshot;
}

type Given = {
    readonly lateMs?: number;
    readonly isGone?: boolean;
    readonly declared?: string;
    readonly key?: string;
    /** The outcome that the table has for the key. */
    readonly kept?: Partial<ClaimRow>;
};

/** Serves one call with stubbed dependencies. The clock advances by `lateMs` before the replica is granted. */
async function serve({ lateMs = 0, isGone = false, declared = addressOf(), key, kept }: Given) {
    let clockOffsetMs = 0;
    const states: string[] = [];
    // Its head is checked as a real one's is.
    const response = Object.assign(new ServerResponse(new IncomingMessage(new Socket())), { destroyed: false });
    const tracing = makeTracing({ endpoint: undefined, process: "p", availabilityZone: "zone-a" });
    const request = Object.assign(Readable.from([Buffer.from("{}")]), {
        method: "POST",
        url: "/services/bookings/visits",
        headers: key === undefined ? {} : { "idempotency-key": key },
    });
    const exchange = {
        requestId: "r",
        request,
        response,
        held: { readWhole: async () => ({ kind: "read", bytes: Buffer.from("{}") }) },
        path: "/services/bookings/visits",
        span: tracing.startServerSpan("call", {}),
        arrivedAtMs: systemTimer.nowMs(),
        snapshot: snapshotWith(addressOf()),
        service: "none",
    } as unknown as Exchange;
    const settler = {
        settle: async ({ state }: { state: string }) => states.push(state) > 0,
        settleLate: async () => undefined,
    };
    const context = {
        processContext: {
            settings: { limits: Settings.shape.limits.parse({}) },
            timer: { ...systemTimer, nowMs: () => systemTimer.nowMs() + clockOffsetMs },
            metrics: { attempts: { inc: () => undefined } },
            log: silentLog,
            tracing,
        },
        retryBudget: makeRetryBudget(0),
        configuration: { feed: { latest: () => ({ snapshot: snapshotWith(declared) }) } },
        claims: {
            claim: async () => kept === undefined ? { kind: "granted", settler } : { kind: "answered", row: kept },
        },
        dispatch: {
            admit: async () => {
                clockOffsetMs = lateMs;
                response.destroyed = isGone;
                return { kind: "started", replica: { replica: addressOf(), address: addressOf() } };
            },
            release: () => undefined,
            abandon: () => undefined,
        },
    } as unknown as HandlerContext;
    const outcome = await servePlain(exchange, "w", context);
    return { ...outcome, received, states };
}

const cases = [
    { name: "that is sent in time", given: {}, expected: { ending: "answered", code: "ok", received: 1, states: [] } },
    {
        name: "that is granted a replica after its deadline",
        given: { lateMs: timeoutMs },
        expected: { ending: "notRun", code: "overloaded", received: 0, states: [] },
    },
    {
        name: "that is claimed and granted a replica after its deadline",
        given: { lateMs: timeoutMs, key: "k" },
        expected: { ending: "notRun", code: "overloaded", received: 0, states: ["notRun"] },
    },
    {
        name: "whose caller has disconnected",
        given: { isGone: true },
        expected: { ending: "notRun", code: "callerGone", received: 0, states: [] },
    },
    {
        name: "that is claimed and whose caller has disconnected",
        given: { isGone: true, key: "k" },
        expected: { ending: "notRun", code: "callerGone", received: 0, states: ["notRun"] },
    },
    {
        name: "that is granted an upstream which a ticket has removed",
        given: { declared: "127.0.0.1:1" },
        expected: { ending: "notRun", code: "upstreamUnreachable", received: 0, states: [] },
    },
    {
        name: "that is claimed and answered",
        given: { key: "k" },
        expected: { ending: "answered", code: "ok", received: 1, states: ["answered"] },
    },
    {
        name: "with an empty idempotency key",
        given: { key: "" },
        expected: { ending: "notRun", code: "invalidRequest", received: 0, states: [] },
    },
];

const answerOf = (changes: Partial<ClaimRow>): Partial<ClaimRow> => ({
    status: 200,
    headers: {},
    body: "b2s=",
    ...changes,
});
const notKept = { ending: "answered", code: "answerNotKept", received: 0, states: [] };
const keptCases = [
    { name: "a sound answer", kept: answerOf({}), expected: { ...notKept, code: "replayed" } },
    { name: "a control character in a header", kept: answerOf({ headers: { a: "b\u0000c" } }), expected: notKept },
    { name: "a bad name of a header", kept: answerOf({ headers: { "a b": "c" } }), expected: notKept },
    { name: "two framings", kept: answerOf({ headers: { "transfer-encoding": "gzip" } }), expected: notKept },
];

for (const { name, kept, expected } of keptCases) {
    test(`a repeated call whose kept outcome has ${name} ends no process`, async () =>
        assert.equal(await serve({ key: "k", kept }), expected));
}

for (const { name, given, expected } of cases) {
    test(`a call ${name}`, async () => assert.equal(await serve(given), expected));
}

test.run();
