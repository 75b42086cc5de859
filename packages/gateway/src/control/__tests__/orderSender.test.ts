/** When the planner learns how its orders ended, in virtual time: what it does with members of a silent head waits for that. */
import { type OrderOutcome } from "@rattanquay/core";
import { type EngineOrder, type UpstreamRecord } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer, VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { makeOrderSender } from "../orderSender";

const stepMs = 10;
const orderTakesMs = 500;
const passTakesMs = 600;
const leave: EngineOrder = { kind: "leave", group: "g1", epoch: 1 };
const open: EngineOrder = { kind: "open", group: "g1", epoch: 1 };
const upstream = { id: "i1" } as UpstreamRecord;
const passed: OrderOutcome = { result: "unanswered", witnesses: 3 };

type Given = { readonly order: EngineOrder; readonly isSilent: boolean; readonly isAnswered?: boolean };

/** Sends an order whose answer, or whose lack of one, takes `orderTakesMs`. */
async function send({ order, isSilent, isAnswered = false }: Given) {
    const timer = new VirtualTimer();
    const result = isAnswered ? "accepted" : "unanswered";
    const context = {
        timer,
        log: silentLog,
        metrics: { orders: { inc: () => undefined } },
        ports: { engines: { order: () => sleep(timer, orderTakesMs).then(() => ({ result, detail: "" })) } },
    } as unknown as GatewayContext;
    let passes = 0;
    let noted: { readonly outcome: OrderOutcome; readonly atMs: number } | undefined;
    const sendOrder = makeOrderSender(context, {
        planner: { noteOrderOutcome: (unused, outcome, atMs) => void (noted = { outcome, atMs }) },
        isSilent: () => isSilent,
        passOrder: () => {
            passes++;
            return sleep(timer, passTakesMs).then(() => passed);
        },
    });
    void sendOrder({ upstream, order });
    for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += stepMs) {
        timer.advance(stepMs);
        await sleep(systemTimer, 0);
    }
    return { ...noted, passes };
}

const refused = { outcome: { result: "unanswered", witnesses: 0 }, atMs: orderTakesMs, passes: 0 };
const accepted = { outcome: { result: "accepted", witnesses: 0 }, atMs: orderTakesMs, passes: 0 };
const cases = [
    {
        name: "to leave, to a silent one",
        given: { order: leave, isSilent: true },
        expected: { outcome: passed, atMs: passTakesMs, passes: 1 },
    },
    {
        name: "to leave, to one that was heard",
        given: { order: leave, isSilent: false },
        expected: { outcome: passed, atMs: orderTakesMs + passTakesMs, passes: 1 },
    },
    {
        name: "to leave, that is answered",
        given: { order: leave, isSilent: false, isAnswered: true },
        expected: accepted,
    },
    { name: "to open, to a silent one", given: { order: open, isSilent: true }, expected: refused },
    { name: "to open, that is answered", given: { order: open, isSilent: true, isAnswered: true }, expected: accepted },
];

for (const { name, given, expected } of cases) {
    test(`an order ${name}: when its outcome is known, and what the peers are asked`, async () =>
        assert.equal(await send(given), expected));
}

test.run();
