/**
 * Guards against a caller that is told that it is wrong without a line that says on what that was decided, against a key
 * in the log, and against an answer that is not final and yet counts as a refusal.
 */
import { systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { digestKey } from "../../keyDigest";
import { type DecidedOn } from "../finalRefusal";
import { brokenPath, configuration, maxBodyBytes, startServedRequests, validKey } from "./servedRequests";

const wrongKey = "taken-key-00000000000";
const chunk = "x".repeat(maxBodyBytes + 1);

type Call = { readonly path: string; readonly key?: string; readonly host?: string; readonly lines?: string };

const textOf = ({ path, key, host = "calls.example", lines = "" }: Call, body = ""): string => {
    const keyLine = key === undefined ? "" : `api-key: ${key}\r\n`;
    return `POST ${path} HTTP/1.1\r\nhost: ${host}\r\nrequest-id: r1\r\n${keyLine}${lines}\r\n${body}`;
};

const config = { configVersion: 5, origin: "peer", host: "calls.example" };
const noKey = { hasKey: false, keyDigest: undefined, isKeyKnown: undefined };
const good = { hasKey: true, keyDigest: digestKey(validKey), isKeyKnown: true };
const source = (isSealed: boolean) => ({ upstream: "u-1", isSealed });

const cases: readonly {
    name: string;
    text: string;
    code: string;
    status: number;
    /** Undefined if the answer is not a final refusal. */
    decidedOn: Partial<Record<keyof DecidedOn, unknown>> & Readonly<Record<string, unknown>> | undefined;
}[] = [
    {
        name: "no key",
        text: textOf({ path: "/lookup/1" }),
        code: "unknownKey",
        status: 401,
        decidedOn: { ...config, ...noKey, requiresKey: true },
    },
    {
        name: "an unknown key",
        text: textOf({ path: "/lookup/1", key: wrongKey }),
        code: "unknownKey",
        status: 401,
        decidedOn: { ...config, hasKey: true, keyDigest: digestKey(wrongKey), isKeyKnown: false, requiresKey: true },
    },
    {
        name: "a path without a route",
        text: textOf({ path: "/nowhere/1", key: validKey }),
        code: "unknownRoute",
        status: 404,
        decidedOn: { ...config, ...good, requiresKey: true },
    },
    {
        name: "a host without a route, however long",
        text: textOf({ path: "/lookup/1", key: validKey, host: "h".repeat(5_000) }),
        code: "unknownRoute",
        status: 404,
        decidedOn: { ...config, ...good, host: "h".repeat(100), requiresKey: true },
    },
    {
        name: "a body that is announced too large",
        text: textOf({ path: "/lookup/1", key: validKey, lines: "content-length: 5000\r\n" }),
        code: "bodyTooLarge",
        status: 413,
        decidedOn: { ...config, ...good, requiresKey: true, bodyBytes: 5_000, maxBodyBytes },
    },
    {
        name: "a body in chunks that grows too large",
        text: textOf(
            { path: "/lookup/1", key: validKey, lines: "transfer-encoding: chunked\r\n" },
            `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
        ),
        code: "bodyTooLarge",
        status: 413,
        decidedOn: { ...config, ...good, requiresKey: true, bodyBytes: chunk.length, maxBodyBytes },
    },
    {
        name: "an error while it is sent",
        text: textOf({ path: brokenPath, key: validKey }),
        code: "unreadablePath",
        status: 400,
        decidedOn: { ...config, ...good, requiresKey: true },
    },
    {
        name: "an upstream's own 404 without a seal",
        text: textOf({ path: "/lookup/1?status=404", key: validKey }),
        code: "upstreamFailed",
        status: 404,
        decidedOn: { ...config, ...good, requiresKey: true, ...source(false) },
    },
    {
        name: "an upstream's own 422 with a seal, on a public route",
        text: textOf({ path: "/open/1?status=422&seal=1" }),
        code: "upstreamFailed",
        status: 422,
        decidedOn: { ...config, ...noKey, requiresKey: false, ...source(true) },
    },
    {
        name: "an upstream's own 302 of a streaming route",
        text: textOf({ path: "/draft/1?status=302&seal=1", key: validKey }),
        code: "upstreamFailed",
        status: 302,
        decidedOn: { ...config, ...good, requiresKey: true, ...source(true) },
    },
    {
        name: "an upstream's own 404 that is too large to be buffered",
        text: textOf({ path: "/lookup/1?status=404&seal=1&bytes=300000", key: validKey }),
        code: "ok",
        status: 404,
        decidedOn: { ...config, ...good, requiresKey: true, ...source(true) },
    },
    {
        name: "an upstream's 429",
        text: textOf({ path: "/lookup/1?status=429", key: validKey }),
        code: "upstreamFailed",
        status: 429,
        decidedOn: undefined,
    },
    {
        name: "an upstream's 500",
        text: textOf({ path: "/lookup/1?status=500", key: validKey }),
        code: "upstreamFailed",
        status: 500,
        decidedOn: undefined,
    },
    {
        name: "a success",
        text: textOf({ path: "/lookup/1?seal=1", key: validKey }),
        code: "ok",
        status: 200,
        decidedOn: undefined,
    },
];

for (const { name, text, code, status, decidedOn } of cases) {
    test(`DENIED: a final refusal without its inputs, or with a key, in the log: ${name}`, async () => {
        const served = await startServedRequests();
        try {
            served.clusterState.applyConfiguration(configuration, "peer");
            const statusLine = await served.send(text);
            assert.is(Number(statusLine.split(" ")[1]), status);
            const [line, ...others] = served.endedLines();
            assert.equal(others, []);
            assert.equal([line!.code, line!.status, line!.requestId], [code, status, "r1"]);
            const { ageMs, ...rest } = (line!.decidedOn ?? {}) as DecidedOn;
            assert.equal(withoutUndefined(rest), withoutUndefined(decidedOn ?? {}));
            assert.is(ageMs !== undefined && ageMs >= 0, decidedOn !== undefined);
            assert.not.match(JSON.stringify(served.lines), /-key-0/);
        }
        finally {
            served.stop();
        }
    });
}

function withoutUndefined(fields: Readonly<Record<string, unknown>>) {
    return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

test("DENIED: an error of the program looks like a wrong target, and leaves no trace", async () => {
    const served = await startServedRequests();
    try {
        served.clusterState.applyConfiguration(configuration, "store");
        await served.send(textOf({ path: brokenPath, key: validKey }));
        const errors = served.lines.filter(({ event }) => event === "unexpectedError");
        assert.equal(errors.map(({ error: unusedText, ...fields }) => fields), [
            { event: "unexpectedError", origin: "send", requestId: "r1", upstream: "u-1", path: brokenPath },
        ]);
        assert.match(String(errors[0]!.error), /planted by the test/);
        const { values } = await served.metrics.unexpectedErrors.get();
        assert.equal(values.map(({ labels, value }) => ({ ...labels, value })), [{ origin: "send", value: 1 }]);
    }
    finally {
        served.stop();
    }
});

const confirmations: readonly {
    name: string;
    confirmedAgoMs: number | undefined;
    isConfirmed: "true" | "false";
}[] = [
    { name: "never confirmed", confirmedAgoMs: undefined, isConfirmed: "false" },
    { name: "confirmed just now", confirmedAgoMs: 100, isConfirmed: "true" },
    { name: "confirmed long ago", confirmedAgoMs: 5_000, isConfirmed: "false" },
];

for (const { name, confirmedAgoMs, isConfirmed } of confirmations) {
    test(`DENIED: refusals on an old configuration look like others in the metrics: ${name}`, async () => {
        const served = await startServedRequests();
        try {
            served.clusterState.applyConfiguration(configuration, "store");
            if (confirmedAgoMs !== undefined) {
                served.clusterState.configurationAge.noteStoreAnswer(systemTimer.nowMs() - confirmedAgoMs);
            }
            await served.send(textOf({ path: "/lookup/1", key: wrongKey }));
            const { values } = await served.metrics.finalRefusals.get();
            assert.equal(values.map(({ labels, value }) => ({ ...labels, value })), [
                { code: "unknownKey", isConfirmed, value: 1 },
            ]);
            const { confirmedAgeMs } = served.endedLines()[0]!.decidedOn as DecidedOn;
            assert.is(confirmedAgeMs === undefined, confirmedAgoMs === undefined);
            assert.ok(confirmedAgeMs === undefined || Math.abs(confirmedAgeMs - confirmedAgoMs!) < 500);
        }
        finally {
            served.stop();
        }
    });
}

test.run();
