/** The checker reports each kind of violation in hand-written histories, and none in valid ones. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkHistory } from "../checkHistory";
import { type Answer, type Execution, type History, type Request } from "../history";

const request = (requestId: string, over: Partial<Request> = {}): Request => ({
    requestId,
    call: "c1",
    isRepeatable: false,
    ...over,
});
const answer = (requestId: string, over: Partial<Answer> = {}): Answer => ({
    requestId,
    ending: "answered",
    isWhole: true,
    text: '{"call":"c1"}',
    ...over,
});
const run = (requestId: string, attemptId = `${requestId}/1`): Execution => ({
    requestId,
    attemptId,
    call: "c1",
    upstream: "service-0",
});
const chat = { isRepeatable: true, expectedText: "one two " };

const cases: readonly (History & { readonly name: string; readonly broken: readonly string[] })[] = [
    {
        name: "one call, one execution, one answer",
        requests: [request("r1")],
        answers: [answer("r1")],
        executions: [run("r1")],
        broken: [],
    },
    {
        name: "a retry that gets the first answer",
        requests: [request("r1"), request("r2")],
        answers: [answer("r1"), answer("r2")],
        executions: [run("r1")],
        broken: [],
    },
    {
        name: "two executions of one call",
        requests: [request("r1"), request("r2")],
        answers: [answer("r1"), answer("r2")],
        executions: [run("r1"), run("r2")],
        broken: ["atMostOnce"],
    },
    {
        name: "two executions of one request",
        requests: [request("r1")],
        answers: [answer("r1")],
        executions: [run("r1"), run("r1", "r1/2")],
        broken: ["atMostOnce"],
    },
    {
        name: "a call that is answered with `not run` but was executed",
        requests: [request("r1")],
        answers: [answer("r1", { ending: "notRun", isWhole: false, text: "" })],
        executions: [run("r1")],
        broken: ["trueRefusal"],
    },
    {
        name: "the answer to another call",
        requests: [request("r1")],
        answers: [answer("r1", { text: '{"call":"c2"}' })],
        executions: [run("r1")],
        broken: ["ownAndWhole"],
    },
    {
        name: "an incomplete answer that ends cleanly",
        requests: [request("r1", chat)],
        answers: [answer("r1", { text: "one " })],
        executions: [run("r1")],
        broken: ["ownAndWhole"],
    },
    {
        name: "an interrupted stream that is reported as such",
        requests: [request("r1", chat)],
        answers: [answer("r1", { ending: "unknown", isWhole: false, text: "one " })],
        executions: [run("r1"), run("r1", "r1/2")],
        broken: [],
    },
    {
        name: "a repeated token before the interruption",
        requests: [request("r1", chat)],
        answers: [answer("r1", { ending: "unknown", isWhole: false, text: "one one " })],
        executions: [run("r1")],
        broken: ["ownPart"],
    },
    {
        name: "an answer without an execution",
        requests: [request("r1")],
        answers: [answer("r1")],
        executions: [],
        broken: ["answeredHasRun"],
    },
    {
        name: "two answers that differ",
        requests: [request("r1"), request("r2")],
        answers: [answer("r1"), answer("r2", { text: '{"call":"c1","booked":2}' })],
        executions: [run("r1")],
        broken: ["sameAnswer"],
    },
    { name: "a request that never ends", requests: [request("r1")], answers: [], executions: [], broken: ["endsOnce"] },
];

for (const { name, broken, ...history } of cases) {
    test(name, () => assert.equal(checkHistory(history).map(violation => violation.rule), broken));
}

test.run();
