/**
 * A task is a js-csp process with a mailbox and one handler for each kind of message.
 *
 * Messages are handled one at a time: the next one waits until an asynchronous handler has settled, so no handler sees
 * partially updated state. An error thrown by a handler is a violated invariant; it is reported to a callback that is
 * expected to end the process.
 */
import csp, { type Channel } from "js-csp";

const { buffers, chan, go, offer, take } = csp;

/** A message; `kind` selects its handler. */
export type Message = { readonly kind: string };

/** Callback that receives the answer to a message. */
export type Reply<T> = (answer: T) => void;

/** Accepts messages for a task. */
export type Mailbox<M extends Message> = {
    readonly send: (message: M) => void;
    /** Sends a message only if the task has none queued or in progress, so that periodic work does not pile up. */
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
    readonly onFatalError: (task: string, error: unknown) => void;
};

const mailboxSize = 65_536;

/** Starts a task. It runs until its mailbox is closed. */
export function startTask<M extends Message>(options: Options<M>): Mailbox<M> {
    const mailbox = chan<M>(buffers.fixed(mailboxSize));
    let isOpen = true;
    let unfinishedMessages = 0;
    go(function*() {
        for (;;) {
            const message: M | symbol = yield take(mailbox);
            if (typeof message === "symbol" || message === null) {
                return;
            }
            const pending = runHandler(options, message);
            if (pending !== undefined) {
                yield take(settlementChannel(pending, options));
            }
            unfinishedMessages--;
        }
    });
    const send = (message: M): void => {
        if (!isOpen) {
            return;
        }
        unfinishedMessages++;
        if (!offer(mailbox, message)) {
            options.onFatalError(options.name, new Error(`the mailbox of ${options.name} is full`));
        }
    };
    return {
        send,
        sendIfIdle: message => {
            if (unfinishedMessages === 0) {
                send(message);
            }
        },
        close: () => {
            isOpen = false;
            mailbox.close();
        },
    };
}

/** Sends a message with a reply callback and resolves to the answer. */
export function ask<M extends Message, T>(mailbox: Mailbox<M>, make: (reply: Reply<T>) => M): Promise<T> {
    return new Promise(resolve => mailbox.send(make(resolve)));
}

function runHandler<M extends Message>(options: Options<M>, message: M): Promise<void> | undefined {
    const handler = options.handlers[message.kind as M["kind"]] as (message: M) => void | Promise<void>;
    try {
        return handler(message) ?? undefined;
    }
    catch (error) {
        options.onFatalError(options.name, error);
        return undefined;
    }
}

function settlementChannel<M extends Message>(pending: Promise<void>, options: Options<M>): Channel<boolean> {
    const done = chan<boolean>(1);
    pending
        .catch(error => options.onFatalError(options.name, error))
        .finally(() => offer(done, true));
    return done;
}
