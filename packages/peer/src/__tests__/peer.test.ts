/** Frames, mutual authentication, and messages over a real socket pair. */
import { type PeerHello, type PeerMessage } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";
import { readFileSync } from "node:fs";
import { type TlsOptions } from "node:tls";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    dial,
    encodeFrame,
    FrameDecoder,
    type Link,
    type LinkEvent,
    makeHandshake,
    startLink,
    startPeerListener,
} from "../index";

const secret = "a-secret-of-the-tests";
const helloOf = (process: string, extra: Partial<PeerHello> = {}): PeerHello => ({
    lowestVersion: 1,
    highestVersion: 1,
    process,
    startId: `${process}-start`,
    region: "lab",
    availabilityZone: "zone-a",
    peerAddress: "127.0.0.1:1",
    callerAddress: "127.0.0.1:2",
    nonce: `nonce-of-${process}-0123456789`,
    ...extra,
});

const frameCases = [
    { name: "whole", pieces: [1_000] },
    { name: "a byte at a time", pieces: Array.from({ length: 1_000 }, () => 1) },
    { name: "split inside the length", pieces: [2, 3, 998] },
];
/** `loss_slack_ms` of the users' deployments: a process that is busy for longer answers callers too late. */
const maxBusyMs = 200;
/** Processor time, so that other load on the machine doesn't count. */
const usedMs = (): number => process.cpuUsage().user / 1_000;

test("LOST: a large frame in small parts is copied again with each of them", () => {
    const payload = Buffer.alloc(1_000_000, "a");
    const frame = encodeFrame(payload);
    const partBytes = 64;
    const decoder = new FrameDecoder(payload.length);
    const beforeMs = usedMs();
    const payloads: Buffer[] = [];
    for (let from = 0; from < frame.length; from += partBytes) {
        const decoded = decoder.push(frame.subarray(from, from + partBytes));
        payloads.push(...decoded.kind === "payloads" ? decoded.payloads : []);
    }
    const tookMs = usedMs() - beforeMs;
    assert.equal(payloads.map(received => received.equals(payload)), [true]);
    assert.ok(tookMs < maxBusyMs, `took ${Math.round(tookMs)} ms`);
});

for (const { name, pieces } of frameCases) {
    test(`frames that arrive ${name} are split into payloads`, () => {
        const stream = Buffer.concat([
            encodeFrame(Buffer.from("first")),
            encodeFrame(Buffer.from("")),
            encodeFrame(Buffer.from("last")),
        ]);
        const deframer = new FrameDecoder(100);
        const texts: string[] = [];
        let from = 0;
        for (const size of pieces) {
            const decoded = deframer.push(stream.subarray(from, from + size));
            from += size;
            assert.is(decoded.kind, "payloads");
            if (decoded.kind === "payloads") {
                texts.push(...decoded.payloads.map(String));
            }
        }
        assert.equal(texts, ["first", "", "last"]);
    });
}

test("a frame whose announced length exceeds the limit is rejected", () => {
    assert.equal(new FrameDecoder(10).push(encodeFrame(Buffer.alloc(11))), { kind: "tooLarge", bytes: 11 });
});

const handshakeCases = [
    {
        name: "the same secret",
        listener: {},
        listenerSecret: secret,
        dialerSees: "authenticated",
        listenerSees: "authenticated",
    },
    {
        name: "different secrets",
        listener: {},
        listenerSecret: "another-secret-x",
        dialerSees: "failed",
        listenerSees: "failed",
    },
    {
        name: "a newer release that still supports version 1",
        listener: { highestVersion: 3 },
        listenerSecret: secret,
        dialerSees: "authenticated",
        listenerSees: "authenticated",
    },
    {
        name: "releases without a common version",
        listener: { lowestVersion: 2, highestVersion: 3 },
        listenerSecret: secret,
        dialerSees: "failed",
        listenerSees: "failed",
    },
];
for (const { name, listener, listenerSecret, dialerSees, listenerSees } of handshakeCases) {
    test(`handshake: ${name}`, () => {
        const a = makeHandshake({ role: "dialer", own: helloOf("a"), secret });
        const b = makeHandshake({ role: "listener", own: helloOf("b", listener), secret: listenerSecret });
        const fromA = a.handle(b.hello);
        const fromB = b.handle(a.hello);
        const seenByA = fromB.kind === "reply" ? a.handle(fromB.payload) : fromA;
        const seenByB = fromA.kind === "reply" ? b.handle(fromA.payload) : fromB;
        assert.equal([seenByA.kind, seenByB.kind], [dialerSees, listenerSees]);
    });
}

test("a reflected hello and proof fail the handshake", () => {
    const a = makeHandshake({ role: "dialer", own: helloOf("a"), secret });
    const reply = a.handle(a.hello);
    assert.is(reply.kind, "reply");
    assert.is(reply.kind === "reply" ? a.handle(reply.payload).kind : undefined, "failed");
});

type End = {
    readonly link: Link;
    readonly events: LinkEvent[];
    readonly next: (kind: LinkEvent["kind"]) => Promise<LinkEvent>;
};

async function makeLinkPair(secrets: { readonly dialer: string; readonly listener: string }, tls?: TlsOptions) {
    const ends = new Map<string, End>();
    const makeEnd = (role: "dialer" | "listener", socket: ReturnType<typeof dial>): End => {
        const events: LinkEvent[] = [];
        const waiting = new Map<string, (event: LinkEvent) => void>();
        const link = startLink({
            socket,
            role,
            own: helloOf(role),
            secret: secrets[role],
            maxFrameBytes: 100_000,
            timer: systemTimer,
            onEvent: event => {
                events.push(event);
                waiting.get(event.kind)?.(event);
            },
            onFatalError: (task, error) => {
                throw new Error(task, { cause: error });
            },
        });
        const next = (kind: LinkEvent["kind"]): Promise<LinkEvent> => {
            const known = events.find(event => event.kind === kind);
            return known === undefined ? new Promise(resolve => waiting.set(kind, resolve)) : Promise.resolve(known);
        };
        const end = { link, events, next };
        ends.set(role, end);
        return end;
    };
    const listener = await startPeerListener({
        host: "127.0.0.1",
        port: 0,
        ...(tls === undefined ? {} : { tls }),
        onSocket: socket => makeEnd("listener", socket),
    });
    const dialer = makeEnd("dialer", dial(`127.0.0.1:${listener.port}`, { tls }));
    return { dialer, listening: () => ends.get("listener")!, close: listener.close };
}

test("authenticated links deliver messages complete and in order", async () => {
    const { dialer, listening, close } = await makeLinkPair({ dialer: secret, listener: secret });
    await dialer.next("up");
    const messages: PeerMessage[] = Array.from({ length: 50 }, (unused, sequence) => ({
        kind: "heartbeat",
        sequence,
        revision: sequence * 7,
        zoneVersion: -1,
        ready: sequence % 2 === 0,
    }));
    messages.forEach(message => dialer.link.send(message));
    await listening().next("up");
    dialer.link.send({ kind: "progressAsk", ask: 1 });
    while (listening().events.length < messages.length + 2) {
        await new Promise(resolve => systemTimer.after(5, () => resolve(undefined)));
    }
    const received = listening().events.flatMap(event => event.kind === "message" ? [event.message] : []);
    assert.equal(received.slice(0, -1), messages);
    dialer.link.close("done");
    await listening().next("down");
    close();
});

test("links run over TLS with a certificate of the same CA on each side", async () => {
    const fixture = (name: string): string =>
        readFileSync(new URL(`../../../lab/src/__tests__/__fixtures__/${name}`, import.meta.url), "utf8");
    const cert = fixture("test-certificate.pem");
    const tls = { cert, key: fixture("test-key.pem"), ca: cert, requestCert: true, rejectUnauthorized: true };
    const { dialer, listening, close } = await makeLinkPair({ dialer: secret, listener: secret }, tls);
    const event = await Promise.race([dialer.next("up"), dialer.next("down")]);
    assert.is(event.kind, "up", JSON.stringify(event));
    await listening().next("up");
    dialer.link.close("done");
    await listening().next("down");
    close();
});

test("a link to a peer with a different secret never comes up", async () => {
    const { dialer, listening, close } = await makeLinkPair({ dialer: secret, listener: "quite-another-secret" });
    await dialer.next("down");
    assert.not([...dialer.events, ...listening().events].some(event => event.kind === "up"));
    close();
});

test.run();
