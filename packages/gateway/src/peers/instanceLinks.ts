/** Messages to one process by its name. */
import { type GatewayAnswer, type GatewayMessage, type GatewayRequest } from "@rattanquay/schema";
import { type Links } from "./links";
import { type PeerDirectory } from "./peerDirectory";

export type InstanceLinks = {
    /** Sends a message to a process; does nothing if the process is not known. */
    readonly tellInstance: (instance: string, message: GatewayMessage) => void;
    /** Resolves to undefined if the process is not known or does not answer in time. */
    readonly askInstance: (
        instance: string,
        ask: GatewayRequest,
        timeoutMs: number,
    ) => Promise<GatewayAnswer | undefined>;
};

export function makeInstanceLinks(directory: PeerDirectory, links: Links): InstanceLinks {
    const addressOf = (name: string): string | undefined =>
        directory.peers().find(peer => peer.instance === name)?.address;
    return {
        tellInstance: (name, message) => {
            const address = addressOf(name);
            if (address !== undefined) {
                links.tell([address], message);
            }
        },
        askInstance: async (name, ask, timeoutMs) => {
            const address = addressOf(name);
            return address === undefined ? undefined : links.ask(address, ask, { timeoutMs });
        },
    };
}
