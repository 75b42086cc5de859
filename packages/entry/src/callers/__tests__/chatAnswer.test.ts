/** Only chunks of the current attempt reach the caller, and nothing that looks like the end is sent before the end. */
import { makeMetrics } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeBufferedAnswer, makeStreamingAnswer } from "../chatAnswer";
import { type Exchange } from "../exchange";

const chunk = (content: string, finishReason?: string) => ({
    choices: [{ delta: { content }, finish_reason: finishReason ?? null }],
});

function makeAnswers(make: typeof makeStreamingAnswer) {
    let sent = "";
    const response = {
        headersSent: false,
        writeHead: () => {
            response.headersSent = true;
        },
        write: (text: string) => {
            sent += text;
            return true;
        },
        end: (text: string) => {
            sent += `${text}END`;
        },
        once: () => undefined,
    };
    const exchange = { requestId: "r", service: "s", arrivedAtMs: 0, response } as unknown as Exchange;
    const processContext = { timer: new VirtualTimer(), metrics: makeMetrics() } as never;
    return { answer: make(exchange, processContext), sent: () => sent };
}

for (
    const { name, make } of [{ name: "streaming", make: makeStreamingAnswer }, {
        name: "whole",
        make: makeBufferedAnswer,
    }]
) {
    test(`${name}: chunks of a detached attempt are discarded`, () => {
        const { answer, sent } = makeAnswers(make);
        const first = answer.openSink("1");
        first.write(chunk("one "), "one", false);
        answer.leave("1");
        first.write(chunk("late "), "late", false);
        const second = answer.openSink("2");
        first.write(chunk("later "), "later", false);
        first.finish();
        second.write(chunk("two "), "two", false);
        second.write(chunk("", "stop"), "stop", true);
        second.finish();
        answer.leave("2");
        second.finish();
        assert.is(answer.text(), "one two ");
        assert.not.match(sent(), /late/);
        assert.is(sent().split("END").length, 2);
    });
}

test("a chunk with a finish reason is held back until the end marker", () => {
    const { answer, sent } = makeAnswers(makeStreamingAnswer);
    const first = answer.openSink("1");
    first.write(chunk("one "), "one", false);
    first.write(chunk("two ", "stop"), "two-stop", true);
    answer.leave("1");
    assert.is(sent(), "data: one\n\n");
    assert.is(answer.tokens(), 1);
    const second = answer.openSink("2");
    second.write(chunk("two ", "stop"), "two-stop", true);
    second.finish();
    assert.is(sent(), "data: one\n\ndata: two-stop\n\ndata: [DONE]\n\nEND");
});

test.run();
