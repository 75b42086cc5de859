/** Connections to the peers that this process sends to: one each, opened on first use. */
import { dial } from "@rattanquay/peer";
import { type GatewayAnswer, type GatewayMessage, type GatewayRequest } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type AnswerLimits, encodeMessage, type FrameHandlers, type FrameLink, makeFrameLink } from "./frameLink";

export type Links = {
    readonly ask: (address: string, ask: GatewayRequest, limits: AnswerLimits) => Promise<GatewayAnswer | undefined>;
    /** Whether a frame from that address is arriving: a part of it has come, the last one within `withinMs`. */
    readonly isReceiving: (address: string, withinMs: number) => boolean;
    readonly tell: (addresses: readonly string[], message: GatewayMessage) => void;
    readonly stop: () => void;
};

export function makeLinks(frameHandlers: FrameHandlers, { timer }: GatewayContext): Links {
    const links = new Map<string, FrameLink>();
    const linkTo = (address: string): FrameLink => {
        const known = links.get(address);
        if (known?.isOpen()) {
            return known;
        }
        const link = makeFrameLink(dial(address), frameHandlers, timer);
        links.set(address, link);
        return link;
    };
    return {
        ask: (address, ask, limits) => linkTo(address).ask(ask, limits),
        isReceiving: (address, withinMs) => links.get(address)?.isReceiving(withinMs) === true,
        tell: (addresses, message) => {
            const encoded = encodeMessage(message);
            addresses.forEach(address => linkTo(address).tell(encoded));
        },
        stop: () => links.forEach(link => link.close()),
    };
}
