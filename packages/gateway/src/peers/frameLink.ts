/** A connection between two gateway processes that carries requests, answers and load reports as CBOR frames. */
import { encodeFrame, FrameDecoder } from "@rattanquay/peer";
import { type GatewayAnswer, GatewayFrame, type GatewayMessage, type GatewayRequest } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { decode, encode } from "cbor-x";
import { type Socket } from "node:net";

export type FrameLink = {
    /** Sends a request. Resolves to undefined if no answer arrives in time. */
    readonly ask: (ask: GatewayRequest, limits: AnswerLimits) => Promise<GatewayAnswer | undefined>;
    /** Sends a message that is not answered, from `encodeMessage`; a message to many peers is encoded once. */
    readonly tell: (message: EncodedMessage) => void;
    readonly isOpen: () => boolean;
    /** Whether a frame is arriving: a part of it has come, the last one within `withinMs`. */
    readonly isReceiving: (withinMs: number) => boolean;
    readonly close: () => void;
};

export type AnswerLimits = {
    /** Time for the answer, and without a byte of one that has begun to arrive. */
    readonly timeoutMs: number;
    /** Time for the whole of an answer that goes on arriving; by default it is not given more than `timeoutMs`. */
    readonly longestMs?: number;
};

/** The complete frame of a message. */
export type EncodedMessage = { readonly frame: Buffer };

export function encodeMessage(message: GatewayMessage): EncodedMessage {
    return { frame: encodeGatewayFrame({ direction: "tell", message }) };
}

/** Handles what the other side sends. */
export type FrameHandlers = {
    readonly answer: (ask: GatewayRequest) => Promise<GatewayAnswer>;
    /** `link` can be used to send messages back. */
    readonly receive: (message: GatewayMessage, link: FrameLink) => void;
};

const maxFrameBytes = 8_388_608;
/** A connection with more unsent bytes is closed, to bound the memory that a slow peer can use. */
const maxUnsentBytes = 4_194_304;

export function makeFrameLink(socket: Socket, frameHandlers: FrameHandlers, timer: Timer): FrameLink {
    const deframer = new FrameDecoder(maxFrameBytes);
    const pending = new Map<number, (answer: GatewayAnswer | undefined) => void>();
    let lastNumber = 0;
    let open = true;
    let lastBytesAtMs = -Infinity;
    const isReceiving = (withinMs: number): boolean =>
        open && deframer.isInsideFrame() && timer.nowMs() - lastBytesAtMs < withinMs;
    const write = (bytes: Buffer): void => {
        if (socket.writableLength > maxUnsentBytes) {
            socket.destroy();
            return;
        }
        socket.write(bytes);
    };
    const send = (frame: GatewayFrame): void => write(encodeGatewayFrame(frame));
    const handlers = {
        ask: ({ number, ask }: Extract<GatewayFrame, { direction: "ask" }>): void => {
            void frameHandlers.answer(ask).then(given => open && send({ direction: "answer", number, answer: given }));
        },
        answer: ({ number, answer: given }: Extract<GatewayFrame, { direction: "answer" }>): void => {
            pending.get(number)?.(given);
        },
        tell: ({ message }: Extract<GatewayFrame, { direction: "tell" }>): void => frameHandlers.receive(message, link),
    };
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => {
        lastBytesAtMs = timer.nowMs();
        const deframed = deframer.push(bytes);
        if (deframed.kind === "tooLarge") {
            socket.destroy();
            return;
        }
        for (const payload of deframed.payloads) {
            const frame = read(payload);
            if (frame === undefined) {
                socket.destroy();
                return;
            }
            (handlers[frame.direction] as (frame: GatewayFrame) => void)(frame);
        }
    });
    // Errors need no handling here: `close` follows and settles all pending requests.
    socket.on("error", () => undefined);
    socket.on("close", () => {
        open = false;
        pending.forEach(settle => settle(undefined));
    });
    const link: FrameLink = {
        ask: (ask, { timeoutMs, longestMs = timeoutMs }) =>
            new Promise(resolve => {
                const number = ++lastNumber;
                const sentAtMs = timer.nowMs();
                const settle = (given: GatewayAnswer | undefined): void => {
                    cancel();
                    pending.delete(number);
                    resolve(given);
                };
                const check = (): void => {
                    const leftMs = sentAtMs + longestMs - timer.nowMs();
                    if (leftMs > 0 && isReceiving(timeoutMs)) {
                        cancel = timer.after(Math.min(leftMs, lastBytesAtMs + timeoutMs - timer.nowMs()), check);
                        return;
                    }
                    settle(undefined);
                    // A connection can stay silent for good although new ones would work.
                    if (timer.nowMs() - lastBytesAtMs >= timeoutMs) {
                        socket.destroy();
                    }
                };
                let cancel = timer.after(timeoutMs, check);
                pending.set(number, settle);
                send({ direction: "ask", number, ask });
            }),
        tell: ({ frame }) => {
            if (open) {
                write(frame);
            }
        },
        isOpen: () => open,
        isReceiving,
        close: () => socket.destroy(),
    };
    return link;
}

function encodeGatewayFrame(frame: GatewayFrame): Buffer {
    return encodeFrame(encode(frame));
}

function read(payload: Buffer): GatewayFrame | undefined {
    try {
        const parsed = GatewayFrame.safeParse(decode(payload));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
