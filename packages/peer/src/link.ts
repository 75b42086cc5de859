/** A connection to a peer: a task that owns the socket, authenticates both sides, and then exchanges messages. */
import { type PeerHello, PeerMessage } from "@rattanquay/schema";
import { startTask } from "@rattanquay/task";
import { type Timer } from "@rattanquay/timer";
import { Encoder } from "cbor-x";
import { type Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "./frames";
import { type Handshake, makeHandshake, type Role } from "./handshake";

/** Events that a link reports to its owner. `down` is the last one. */
export type LinkEvent =
    | { readonly kind: "up"; readonly peer: PeerHello; readonly version: number }
    | { readonly kind: "message"; readonly message: PeerMessage }
    | { readonly kind: "down"; readonly reason: string };

export type Link = {
    readonly role: Role;
    readonly send: (message: PeerMessage) => void;
    readonly close: (reason: string) => void;
    /** Bytes and messages in both directions since the link was started. */
    readonly traffic: () => Traffic;
};

export type Traffic = {
    readonly bytesIn: number;
    readonly bytesOut: number;
    readonly messagesIn: number;
    readonly messagesOut: number;
};

export type LinkOptions = {
    readonly socket: Socket;
    readonly role: Role;
    readonly own: PeerHello;
    readonly secret: string;
    readonly maxFrameBytes: number;
    readonly timer: Timer;
    readonly onEvent: (event: LinkEvent) => void;
    readonly onFatalError: (task: string, error: unknown) => void;
};

type Message =
    | { readonly kind: "bytes"; readonly bytes: Buffer }
    | { readonly kind: "send"; readonly message: PeerMessage }
    | { readonly kind: "end"; readonly reason: string };

const handshakeTimeoutMs = 2_000;
const maxHelloBytes = 4_096;
/** If more than this is waiting to be sent, the peer reads too slowly and the link is closed to bound memory. */
const maxUnsentBytes = 16_777_216;

/** Record structures are sent once per link, so that later heartbeats contain only the values. */
const makeCodec = () => new Encoder({ useRecords: true, sequential: true, structures: [] });

export function startLink(options: LinkOptions): Link {
    const { socket, role, own, secret, maxFrameBytes, timer, onEvent } = options;
    const handshake = makeHandshake({ role, own, secret });
    const deframer = new FrameDecoder(maxHelloBytes);
    const encoder = makeCodec();
    const traffic = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };
    let authenticated = false;
    let ended = false;

    const write = (payload: Buffer): void => {
        const frame = encodeFrame(payload);
        traffic.bytesOut += frame.length;
        traffic.messagesOut++;
        socket.write(frame);
    };

    const end = (reason: string): void => {
        if (!ended) {
            ended = true;
            cancel();
            socket.destroy();
            mailbox.close();
            onEvent({ kind: "down", reason });
        }
    };

    const payloadHandlers = makePayloadHandlers(options, handshake, {
        write,
        end,
        onAuthenticated: () => {
            authenticated = true;
            deframer.maxBytes = maxFrameBytes;
            cancel();
        },
    });

    const mailbox = startTask<Message>({
        name: "link",
        onFatalError: options.onFatalError,
        handlers: {
            bytes: ({ bytes }) => {
                traffic.bytesIn += bytes.length;
                const decoded = deframer.push(bytes);
                if (decoded.kind === "tooLarge") {
                    end(`a frame of ${decoded.bytes} bytes is too large`);
                    return;
                }
                for (const payload of decoded.payloads.filter(() => !ended)) {
                    traffic.messagesIn++;
                    (authenticated ? payloadHandlers.handleMessage : payloadHandlers.handleHandshake)(payload);
                }
            },
            send: ({ message }) => {
                if (socket.writableLength > maxUnsentBytes) {
                    end("the peer does not read");
                    return;
                }
                if (authenticated && !ended) {
                    write(encoder.encode(message));
                }
            },
            end: ({ reason }) => end(reason),
        },
    });
    const cancel = timer.after(
        handshakeTimeoutMs,
        () => mailbox.send({ kind: "end", reason: "the peer did not prove itself in time" }),
    );
    socket.setNoDelay(true);
    socket.on("data", bytes => mailbox.send({ kind: "bytes", bytes }));
    socket.on("error", error => mailbox.send({ kind: "end", reason: error.message }));
    socket.on("close", () => mailbox.send({ kind: "end", reason: "closed" }));
    write(handshake.hello);
    return {
        role,
        send: message => mailbox.send({ kind: "send", message }),
        close: reason => mailbox.send({ kind: "end", reason }),
        traffic: () => ({ ...traffic }),
    };
}

type PayloadActions = {
    readonly write: (payload: Buffer) => void;
    readonly end: (reason: string) => void;
    readonly onAuthenticated: () => void;
};

/** Handlers of received payloads, one for before and one for after authentication. */
function makePayloadHandlers(
    { onEvent }: LinkOptions,
    handshake: Handshake,
    { write, end, onAuthenticated }: PayloadActions,
) {
    const decoder = makeCodec();
    return {
        handleHandshake: (payload: Buffer): void => {
            const step = handshake.handle(payload);
            if (step.kind === "reply") {
                write(step.payload);
            }
            if (step.kind === "failed") {
                end(step.reason);
            }
            if (step.kind === "authenticated") {
                onAuthenticated();
                onEvent({ kind: "up", peer: step.peer, version: step.version });
            }
        },
        handleMessage: (payload: Buffer): void => {
            const decoded = decode(decoder, payload);
            if (decoded.kind === "broken") {
                end("a frame cannot be decoded");
                return;
            }
            const parsed = PeerMessage.safeParse(decoded.value);
            if (parsed.success) {
                onEvent({ kind: "message", message: parsed.data });
            }
        },
    };
}

type Decoded = { readonly kind: "value"; readonly value: unknown } | { readonly kind: "broken" };

function decode(decoder: Encoder, payload: Buffer): Decoded {
    try {
        return { kind: "value", value: decoder.decode(payload) };
    }
    catch {
        return { kind: "broken" };
    }
}
