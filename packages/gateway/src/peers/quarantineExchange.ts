/**
 * Sends what this process sees of prompt segments that end upstreams to all peers at once.
 *
 * Peers of the own zone get it directly. A few processes of each other zone get it and pass it on within theirs, because
 * traffic between zones is expensive. What is lost on the way comes with the notices of the relays.
 */
import { type QuarantineNews } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type Quarantine } from "../quarantine";
import { encodeMessage, type FrameLink } from "./frameLink";
import { type Links } from "./links";
import { type PeerDirectory } from "./peerDirectory";
import { sample } from "./sample";

export type QuarantineExchange = {
    readonly receive: (news: QuarantineNews, link: FrameLink) => void;
    /** Records who sends messages over which connection. */
    readonly noteSender: (instance: string, link: FrameLink) => void;
    /** Requests everything from a peer. Returns whether it answered. */
    readonly requestFrom: (address: string) => Promise<boolean>;
    /** The answer to such a request. */
    readonly snapshot: () => QuarantineNews;
};

/** Processes of each other zone that get a report directly: some may be frozen or cut off. */
const receiversPerOtherZone = 2;
const requestTimeoutMs = 500;

export function startQuarantineExchange(
    { settings: { instance, availabilityZone }, random }: GatewayContext,
    quarantine: Quarantine,
    directory: PeerDirectory,
    links: Links,
): QuarantineExchange {
    /** Connections of processes that have started since the directory was read. */
    const unlisted = new Map<string, FrameLink>();
    const addressesIn = (zone: string): readonly string[] =>
        directory.peers().filter(peer => peer.availabilityZone === zone).map(({ address }) => address);
    const isListed = (name: string): boolean => directory.peers().some(peer => peer.instance === name);
    const removeListed = (): void => {
        for (const [name, link] of unlisted) {
            if (!link.isOpen() || isListed(name)) {
                unlisted.delete(name);
            }
        }
    };
    const tellUnlisted = (news: QuarantineNews): void => {
        removeListed();
        const encoded = encodeMessage(news);
        unlisted.forEach(link => link.tell(encoded));
    };
    const tellOwnZone = (news: QuarantineNews): void => {
        links.tell(addressesIn(availabilityZone), news);
        tellUnlisted(news);
    };
    quarantine.setBroadcast(news => {
        tellOwnZone(news);
        const otherZones = new Set(directory.peers().map(peer => peer.availabilityZone));
        otherZones.delete(availabilityZone);
        for (const zone of otherZones) {
            links.tell(sample(addressesIn(zone), receiversPerOtherZone, random), news);
        }
    });
    const noteSender = (name: string, link: FrameLink): void => {
        if (!isListed(name) && unlisted.get(name) !== link) {
            removeListed();
            unlisted.set(name, link);
        }
    };
    return {
        receive: (news, link) => {
            noteSender(news.instance, link);
            const isNew = quarantine.receive(news);
            if (isNew && news.availabilityZone !== availabilityZone) {
                tellOwnZone({ ...news, instance, availabilityZone });
            }
        },
        noteSender,
        requestFrom: async address => {
            const answer = await links.ask(address, { kind: "quarantines" }, { timeoutMs: requestTimeoutMs });
            if (answer?.kind === "quarantines") {
                quarantine.receive(answer.news);
            }
            return answer !== undefined;
        },
        snapshot: () =>
            quarantine.snapshot()
                ?? { kind: "quarantineNews", instance, availabilityZone, crashes: [], sound: [], quarantines: [] },
    };
}
