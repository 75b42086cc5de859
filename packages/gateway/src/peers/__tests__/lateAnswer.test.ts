/** What becomes of an answer that arrives all the while, and is complete only after the time for it. */
import { encodeFrame } from "@rattanquay/peer";
import { type GatewayAnswer } from "@rattanquay/schema";
import { VirtualTimer } from "@rattanquay/timer";
import { encode } from "cbor-x";
import { EventEmitter } from "node:events";
import { type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeFrameLink } from "../frameLink";
import { longestStateAnswerMs, stateRequestTimeoutMs } from "../stateRequester";

/** 8 MB: a version of 0.33 MB, packed, for each of 25 followers of one relay over its link of 9.8 Mbit/s. */
const transferMs = 6_800;
const stepMs = 100;
const answerBytes = 330_000;

test("CONFIG: a state answer that is nearly complete is thrown away, and its transfer starts over", async () => {
    const timer = new VirtualTimer();
    const socket = Object.assign(new EventEmitter(), {
        writableLength: 0,
        write: () => true,
        setNoDelay: () => undefined,
        destroy: () => socket.emit("close"),
    });
    const handlers = { answer: async () => assert.unreachable(), receive: () => undefined };
    const link = makeFrameLink(socket as unknown as Socket, handlers as never, timer);
    const request = { kind: "clusterState", configVersion: 1, asOf: 1 } as const;
    const limits = { timeoutMs: stateRequestTimeoutMs, longestMs: longestStateAnswerMs };
    let given: GatewayAnswer | undefined;
    void link.ask(request, limits).then(answer => given ??= answer);
    const answer: GatewayAnswer = {
        kind: "clusterState",
        packedConfig: new Uint8Array(answerBytes),
        isWhole: false,
        records: [],
        removals: [],
        asOf: 1,
    };
    const frame = encodeFrame(encode({ direction: "answer", number: 1, answer }));
    const partBytes = Math.ceil(frame.length / (transferMs / stepMs));
    for (let sent = 0; sent < frame.length; sent += partBytes) {
        timer.advance(stepMs);
        socket.emit("data", frame.subarray(sent, sent + partBytes));
        await Promise.resolve();
    }
    await Promise.resolve();
    assert.ok(link.isOpen(), "the link was closed");
    assert.is(given?.kind, "clusterState");
});

test.run();
