/**
 * Guards against a caller that is told that it is wrong without a line that says on what that was decided, and against a
 * key in the log.
 */
import { emptySnapshot, type Snapshot } from "@rattanquay/core";
import { Settings } from "@rattanquay/schema";
import { type Log, makeMetrics, makeTracing, silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Configuration } from "../../config";
import { type Dispatch } from "../../dispatch";
import { hashKey } from "../../keys";
import { type ProcessContext } from "../../processContext";
import { startCallerListener } from "../callerListener";

const [validKey, wrongKey] = ["good-key-000000000000", "taken-key-00000000000"];
const settleMs = 20;
const deadlineMs = 3_000;
const host = "127.0.0.1";

const limits = Settings.shape.limits.parse({ maxBodyBytes: 1_000 });
const snapshot = {
    ...emptySnapshot,
    revision: 7,
    services: new Map([["m", { kind: "model" }], ["other", { kind: "model" }], ["p", { kind: "plain" }]]),
    workspaces: new Map([["w", { services: ["m"] }]]),
    workspaceOfKey: new Map([[hashKey(validKey), "w"]]),
} as unknown as Snapshot;

/** What a test's answer of the table changes. */
type Held = { snapshot: Snapshot; confirmedAtMs: number };
type Line = Readonly<Record<string, unknown>> & { readonly decidedOn?: Readonly<Record<string, unknown>> };

/** Sends a request as text, and resolves to the status and the `requestEnded` lines once one is written. */
async function serve(text: string, age: Partial<Configuration>, onConfirm: (held: Held) => void = () => undefined) {
    const lines: Line[] = [];
    const log: Log = { ...silentLog, info: (event, fields) => void (event === "requestEnded" && lines.push(fields!)) };
    const context = {
        settings: { listeners: { callers: { host, port: 0 } }, limits },
        timer: systemTimer,
        log,
        metrics: makeMetrics(),
        tracing: makeTracing({ endpoint: undefined, process: "p", availabilityZone: "zone-a" }),
        onFatalError: (task: string, error: unknown) => {
            throw new Error(`${task}: ${String(error)}`);
        },
    } as unknown as ProcessContext;
    const confirmed = { confirmedByTable: true, confirmedAtMs: systemTimer.nowMs() };
    const configuration = { snapshot, isKnown: true, ...confirmed, ...age };
    const listener = await startCallerListener(
        context,
        {
            feed: { latest: () => configuration },
            confirm: async () => onConfirm(configuration),
        } as unknown as Parameters<typeof startCallerListener>[1],
        {} as Dispatch,
        { isReady: () => true, mayServe: () => true },
        () => undefined,
    );
    let received = "";
    const socket = connect(listener.port, host);
    socket.on("error", () => undefined);
    socket.on("data", bytes => received += bytes.toString("latin1"));
    socket.write(text);
    const endsAtMs = systemTimer.nowMs() + deadlineMs;
    while ((lines.length === 0 || received === "") && systemTimer.nowMs() < endsAtMs) {
        await sleep(systemTimer, settleMs);
    }
    socket.destroy();
    listener.close();
    return { status: Number(received.split(" ", 2)[1]), lines };
}

const textOf = (target: string, key: string | undefined, body = "", length = body.length): string => {
    const keyLine = key === undefined ? "" : `authorization: Bearer ${key}\r\n`;
    return `${target} HTTP/1.1\r\nhost: h.example\r\n${keyLine}content-length: ${length}\r\n\r\n${body}`;
};

const chat = "POST /v1/chat/completions";
const callOf = (model: string): string => JSON.stringify({ model, messages: [{ role: "user", content: "hello" }] });
const base = { configRevision: 7, host: "h.example" };
const noKey = { ...base, hasKey: false };
const bad = { ...base, hasKey: true, keyDigest: hashKey(wrongKey).slice(0, 8), isKeyKnown: false };
const good = { ...base, hasKey: true, keyDigest: hashKey(validKey).slice(0, 8), isKeyKnown: true, workspace: "w" };

const cases: readonly {
    name: string;
    text: string;
    code: string;
    status: number;
    decidedOn: Readonly<Record<string, unknown>> | undefined;
}[] = [
    { name: "no key", text: textOf(chat, undefined), code: "missingKey", status: 401, decidedOn: noKey },
    { name: "an unknown key", text: textOf(chat, wrongKey), code: "wrongKey", status: 401, decidedOn: bad },
    {
        name: "an unknown path",
        text: textOf("GET /nowhere", validKey),
        code: "unknownPath",
        status: 404,
        decidedOn: good,
    },
    {
        name: "an unknown model, however long",
        text: textOf(chat, validKey, callOf("n".repeat(300))),
        code: "unknownModel",
        status: 404,
        decidedOn: { ...good, askedFor: "n".repeat(100) },
    },
    {
        name: "a model of other workspaces",
        text: textOf(chat, validKey, callOf("other")),
        code: "notAssigned",
        status: 403,
        decidedOn: { ...good, askedFor: "other" },
    },
    {
        name: "a plain service of other workspaces",
        text: textOf("GET /services/p/x", validKey),
        code: "notAssigned",
        status: 403,
        decidedOn: { ...good, askedFor: "p" },
    },
    { name: "no JSON", text: textOf(chat, validKey, "{"), code: "malformedJson", status: 400, decidedOn: good },
    {
        name: "a body that is announced too large",
        text: textOf(chat, validKey, "", 5_000),
        code: "bodyTooLarge",
        status: 413,
        decidedOn: { ...good, bodyBytes: 5_000, maxBodyBytes: 1_000 },
    },
    { name: "a success", text: textOf("GET /v1/models", validKey), code: "ok", status: 200, decidedOn: undefined },
];

for (const { name, text, code, status, decidedOn } of cases) {
    test(`DENIED: a final refusal of the chat interface without its inputs, or with a key, in the log: ${name}`, async () => {
        const result = await serve(text, { inForceSinceMs: systemTimer.nowMs() });
        assert.equal([result.status, result.lines.map(line => line["code"])], [status, [code]]);
        const { ageMs, confirmedAgeMs, ...rest } = result.lines[0]!.decidedOn ?? {};
        assert.equal(JSON.parse(JSON.stringify(rest)), decidedOn ?? {});
        assert.is(ageMs === undefined, decidedOn === undefined);
        assert.is(confirmedAgeMs === undefined, decidedOn === undefined);
        assert.not.match(JSON.stringify(result.lines), /-key-0/);
    });
}

const ages: readonly { name: string; confirmedByTable: boolean; confirmedAgoMs: number; isKnown: boolean }[] = [
    { name: "never confirmed by the table", confirmedByTable: false, confirmedAgoMs: 0, isKnown: false },
    { name: "confirmed by the table", confirmedByTable: true, confirmedAgoMs: 4_000, isKnown: true },
];

for (const { name, confirmedByTable, confirmedAgoMs, isKnown } of ages) {
    test(`DENIED: a refusal's line tells how old its configuration was: ${name}`, async () => {
        const nowMs = systemTimer.nowMs();
        // A request without a key is refused for good whatever the configuration holds, and so however old that is.
        const { lines } = await serve(textOf(chat, undefined), {
            confirmedByTable,
            confirmedAtMs: nowMs - confirmedAgoMs,
            inForceSinceMs: nowMs - 9_000,
        });
        const { ageMs, confirmedAgeMs } = lines[0]!.decidedOn as { ageMs: number; confirmedAgeMs?: number };
        assert.ok(ageMs >= 9_000 && ageMs < 10_000, `${ageMs} ms`);
        assert.is(confirmedAgeMs !== undefined, isKnown);
        assert.ok(confirmedAgeMs === undefined || (confirmedAgeMs >= 4_000 && confirmedAgeMs < 5_000));
    });
}

const addedKey = "added-key-00000000000";
const added = {
    ...snapshot,
    revision: 8,
    workspaces: new Map([["w", { services: ["m", "p"] }]]),
    workspaceOfKey: new Map([[hashKey(validKey), "w"], [hashKey(addedKey), "w"]]),
} as unknown as Snapshot;
const longAgoMs = 5_000;
/** What the table's answer changes while the request waits, for a snapshot that was confirmed long ago. */
const waits: readonly {
    name: string;
    text: string;
    after: { readonly snapshot?: Snapshot; readonly isConfirmed: boolean };
    code: string;
    status: number;
}[] = [
    {
        name: "an unknown key, and the table doesn't answer",
        text: textOf(chat, wrongKey),
        after: { isConfirmed: false },
        code: "unconfirmedConfiguration",
        status: 503,
    },
    {
        name: "an unknown model, and the table doesn't answer",
        text: textOf(chat, validKey, callOf("n")),
        after: { isConfirmed: false },
        code: "unconfirmedConfiguration",
        status: 503,
    },
    {
        name: "a plain service of other workspaces, and the table doesn't answer",
        text: textOf("GET /services/p/x", validKey),
        after: { isConfirmed: false },
        code: "unconfirmedConfiguration",
        status: 503,
    },
    {
        name: "an unknown key, and the table confirms that",
        text: textOf(chat, wrongKey),
        after: { isConfirmed: true },
        code: "wrongKey",
        status: 401,
    },
    {
        name: "a key that comes with the table's answer",
        text: textOf("GET /v1/models", addedKey),
        after: { snapshot: added, isConfirmed: true },
        code: "ok",
        status: 200,
    },
    {
        name: "a key that comes from a peer, which confirms nothing",
        text: textOf("GET /v1/models", addedKey),
        after: { snapshot: added, isConfirmed: false },
        code: "ok",
        status: 200,
    },
];

for (const { name, text, after, code, status } of waits) {
    test(`DENIED: a final refusal by a configuration that was confirmed long ago: ${name}`, async () => {
        const result = await serve(text, { confirmedAtMs: systemTimer.nowMs() - longAgoMs }, configuration => {
            configuration.snapshot = after.snapshot ?? configuration.snapshot;
            configuration.confirmedAtMs = after.isConfirmed ? systemTimer.nowMs() : configuration.confirmedAtMs;
        });
        assert.equal([result.status, result.lines.map(line => line["code"])], [status, [code]]);
    });
}

test.run();
