/** Chunks reach the caller from the expected attempt only, and nothing looks like an end before the end. */
import { makeMetrics } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeStreamedAnswer, makeWholeAnswer } from "../chatAnswer";
import { type Exchange } from "../exchange";

const chunk = (content: string, finishReason?: string) => ({
    choices: [{ delta: { content }, finish_reason: finishReason ?? null }],
});

function makeAnswers(make: typeof makeStreamedAnswer) {
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
    const surroundings = { timer: new VirtualTimer(), metrics: makeMetrics() } as never;
    return { answer: make(exchange, surroundings), sent: () => sent };
}

for (
    const { name, make } of [{ name: "streamed", make: makeStreamedAnswer }, { name: "whole", make: makeWholeAnswer }]
) {
    test(`${name}: chunks of an attempt that was left reach no one`, () => {
        const { answer, sent } = makeAnswers(make);
        const first = answer.expect("1");
        first.take(chunk("one "), "one", false);
        answer.leave("1");
        first.take(chunk("late "), "late", false);
        const second = answer.expect("2");
        first.take(chunk("later "), "later", false);
        first.finish();
        second.take(chunk("two "), "two", false);
        second.take(chunk("", "stop"), "stop", true);
        second.finish();
        answer.leave("2");
        second.finish();
        assert.is(answer.text(), "one two ");
        assert.not.match(sent(), /late/);
        assert.is(sent().split("END").length, 2);
    });
}

test("a finish reason is held back until the end marker", () => {
    const { answer, sent } = makeAnswers(makeStreamedAnswer);
    const first = answer.expect("1");
    first.take(chunk("one "), "one", false);
    first.take(chunk("two ", "stop"), "two-stop", true);
    answer.leave("1");
    assert.is(sent(), "data: one\n\n");
    assert.is(answer.tokens(), 1);
    const second = answer.expect("2");
    second.take(chunk("two ", "stop"), "two-stop", true);
    second.finish();
    assert.is(sent(), "data: one\n\ndata: two-stop\n\ndata: [DONE]\n\nEND");
});

test.run();
