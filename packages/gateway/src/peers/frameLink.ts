/** One connection between two gateway processes: CBOR frames that ask and answer. */
import { Deframer, frameOf } from "@rattanquay/peer";
import { type GatewayAnswer, type GatewayAsk, GatewayFrame, type GatewayLoads } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { decode, encode } from "cbor-x";
import { type Socket } from "node:net";

export type FrameLink = {
    /** Undefined when no answer came in time. */
    readonly ask: (ask: GatewayAsk, timeoutMs: number) => Promise<GatewayAnswer | undefined>;
    readonly tell: (loads: GatewayLoads) => void;
    readonly isOpen: () => boolean;
    readonly close: () => void;
};

/** What is done with what the other side sends. */
export type Listener = {
    readonly answer: (ask: GatewayAsk) => Promise<GatewayAnswer>;
    readonly take: (loads: GatewayLoads) => void;
};

const maxFrameBytes = 8_388_608;
/** A peer that reads more slowly than this is cut rather than held in memory. */
const maxUnsentBytes = 4_194_304;

export function makeFrameLink(socket: Socket, listener: Listener, timer: Timer): FrameLink {
    const deframer = new Deframer(maxFrameBytes);
    const waiting = new Map<number, (answer: GatewayAnswer | undefined) => void>();
    let asked = 0;
    let open = true;
    const send = (frame: GatewayFrame): void => {
        if (socket.writableLength > maxUnsentBytes) {
            socket.destroy();
            return;
        }
        socket.write(frameOf(encode(frame)));
    };
    const handlers = {
        ask: ({ number, ask }: Extract<GatewayFrame, { direction: "ask" }>): void => {
            void listener.answer(ask).then(given => open && send({ direction: "answer", number, answer: given }));
        },
        answer: ({ number, answer: given }: Extract<GatewayFrame, { direction: "answer" }>): void => {
            waiting.get(number)?.(given);
        },
        tell: ({ loads }: Extract<GatewayFrame, { direction: "tell" }>): void => listener.take(loads),
    };
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => {
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
    // What failed shows as the connection's end, and as questions without answers.
    socket.on("error", () => undefined);
    socket.on("close", () => {
        open = false;
        waiting.forEach(settle => settle(undefined));
    });
    return {
        ask: (ask, timeoutMs) =>
            new Promise(resolve => {
                const number = ++asked;
                const settle = (given: GatewayAnswer | undefined): void => {
                    cancel();
                    waiting.delete(number);
                    resolve(given);
                };
                const cancel = timer.after(timeoutMs, () => {
                    settle(undefined);
                    // A connection can go silent for good while new ones work.
                    socket.destroy();
                });
                waiting.set(number, settle);
                send({ direction: "ask", number, ask });
            }),
        tell: loads => send({ direction: "tell", loads }),
        isOpen: () => open,
        close: () => socket.destroy(),
    };
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
