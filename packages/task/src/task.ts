/**
 * A task is a js-csp process with a mailbox and a table of handlers, one for each kind of message.
 *
 * Messages are handled one at a time, and a handler that waits holds the next message back: the task's state is never
 * seen half changed. A handler that throws has broken an invariant; `onBroken` is expected to end the process.
 */
import csp, { type Channel } from "js-csp";

const { buffers, chan, go, offer, take } = csp;

/** A message names its kind, by which its handler is found. */
export type Message = { readonly kind: string };

/** Where an answer to a message goes. */
export type Reply<T> = (answer: T) => void;

/** Where others leave messages for a task. */
export type Mailbox<M extends Message> = {
    readonly send: (message: M) => void;
    /** Leaves a message only when the task has nothing to do; for periodic work, which must not pile up. */
    readonly sendIfIdle: (message: M) => void;
    readonly close: () => void;
};

/** One handler for each kind of message. */
export type Handlers<M extends Message> = {
    readonly [K in M["kind"]]: (message: Extract<M, { readonly kind: K }>) => void | Promise<void>;
};

type Options<M extends Message> = {
    readonly name: string;
    readonly handlers: Handlers<M>;
    readonly onBroken: (task: string, error: unknown) => void;
};

const mailboxSize = 65_536;

/** Starts a task; it ends when its mailbox is closed. */
export function startTask<M extends Message>(options: Options<M>): Mailbox<M> {
    const mailbox = chan<M>(buffers.fixed(mailboxSize));
    let open = true;
    let outstanding = 0;
    go(function*() {
        for (;;) {
            const message: M | symbol = yield take(mailbox);
            if (typeof message === "symbol" || message === null) {
                return;
            }
            const pending = handle(options, message);
            if (pending !== undefined) {
                yield take(settled(pending, options));
            }
            outstanding--;
        }
    });
    const send = (message: M): void => {
        if (!open) {
            return;
        }
        outstanding++;
        if (!offer(mailbox, message)) {
            options.onBroken(options.name, new Error(`the mailbox of ${options.name} is full`));
        }
    };
    return {
        send,
        sendIfIdle: message => {
            if (outstanding === 0) {
                send(message);
            }
        },
        close: () => {
            open = false;
            mailbox.close();
        },
    };
}

/** Sends a message that asks for an answer, and waits for that. */
export function ask<M extends Message, T>(mailbox: Mailbox<M>, make: (reply: Reply<T>) => M): Promise<T> {
    return new Promise(resolve => mailbox.send(make(resolve)));
}

function handle<M extends Message>(options: Options<M>, message: M): Promise<void> | undefined {
    const handler = options.handlers[message.kind as M["kind"]] as (message: M) => void | Promise<void>;
    try {
        return handler(message) ?? undefined;
    }
    catch (error) {
        options.onBroken(options.name, error);
        return undefined;
    }
}

function settled<M extends Message>(pending: Promise<void>, options: Options<M>): Channel<boolean> {
    const done = chan<boolean>(1);
    pending
        .catch(error => options.onBroken(options.name, error))
        .finally(() => offer(done, true));
    return done;
}
