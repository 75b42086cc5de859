import { test } from "uvu";
import * as assert from "uvu/assert";
import { ask, makeValuePublisher, type Reply, startTask } from "../index";

type Message =
    | { readonly kind: "add"; readonly amount: number }
    | { readonly kind: "addLater"; readonly amount: number; readonly gate: Promise<void> }
    | { readonly kind: "total"; readonly reply: Reply<number> }
    | { readonly kind: "fail" };

function startCounter(onFatalError: (task: string, error: unknown) => void = () => assert.unreachable()) {
    let total = 0;
    return startTask<Message>({
        name: "counter",
        onFatalError,
        handlers: {
            add: ({ amount }) => {
                total += amount;
            },
            addLater: async ({ amount, gate }) => {
                await gate;
                total += amount;
            },
            total: ({ reply }) => reply(total),
            fail: () => {
                throw new Error("broken");
            },
        },
    });
}

test("messages are handled in order, each after the previous handler has finished", async () => {
    const counter = startCounter();
    let open: () => void = () => undefined;
    const gate = new Promise<void>(resolve => open = resolve);
    counter.send({ kind: "addLater", amount: 1, gate });
    const total = ask<Message, number>(counter, reply => ({ kind: "total", reply }));
    open();
    assert.is(await total, 1);
});

test("periodic work does not pile up behind a slow handler", async () => {
    const counter = startCounter();
    let open: () => void = () => undefined;
    const gate = new Promise<void>(resolve => open = resolve);
    counter.sendIfIdle({ kind: "addLater", amount: 1, gate });
    counter.sendIfIdle({ kind: "add", amount: 10 });
    counter.sendIfIdle({ kind: "add", amount: 10 });
    open();
    assert.is(await ask<Message, number>(counter, reply => ({ kind: "total", reply })), 1);
});

test("an error thrown by a handler is reported with the name of the task", async () => {
    const failedTasks: string[] = [];
    const counter = startCounter(task => failedTasks.push(task));
    counter.send({ kind: "fail" });
    await ask<Message, number>(counter, reply => ({ kind: "total", reply }));
    assert.equal(failedTasks, ["counter"]);
});

test("a closed task accepts no more messages", async () => {
    const counter = startCounter();
    counter.send({ kind: "add", amount: 1 });
    counter.close();
    counter.send({ kind: "fail" });
    await new Promise<void>(resolve => queueMicrotask(resolve));
});

test("an observable value returns the latest value and notifies subscribers of each new one", () => {
    const source = makeValuePublisher(1);
    const received: number[] = [];
    source.subscribe(value => received.push(value));
    source.publish(2);
    source.publish(3);
    assert.is(source.latest(), 3);
    assert.equal(received, [2, 3]);
});

test.run();
