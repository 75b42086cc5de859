/**
 * Sends load information to peers in rounds: to all of the own zone in turn, and now and then to one of another zone.
 *
 * Traffic between zones is expensive, so all processes of a zone together send two messages to each other zone in
 * each round, whatever their number.
 */
import { type Cancel } from "@rattanquay/timer";
import { type GatewayContext } from "../gatewayContext";
import { type Quarantine } from "../quarantine";
import { type UpstreamRegistry } from "../upstreams";
import { type Links } from "./links";
import { type LoadGossip } from "./loadGossip";
import { startLongPromptNotices } from "./longPromptNotices";
import { type PeerDirectory } from "./peerDirectory";
import { sample } from "./sample";
import { type UsageGossip } from "./usageGossip";

const gossipEveryMs = 300;
/** Peers of the same zone that get loads in each round; if there are more, each gets them less often. */
const sameZonePeersPerRound = 8;
/** Messages to each other zone in each round, from all processes of this zone together. */
const messagesPerOtherZone = 2;
/**
 * Of the messages in the time in which a process sends to all peers of its zone, this many hold the other zones' sums of
 * the use of workspaces. Every process gets these sums about as often.
 */
const zoneSumReceivers = 4;

export type GossipSources = {
    readonly registry: UpstreamRegistry;
    readonly gossip: LoadGossip;
    readonly usage: UsageGossip;
    readonly quarantine: Quarantine;
    readonly directory: PeerDirectory;
    readonly links: Links;
};

export function startGossipRounds(
    context: GatewayContext,
    sources: GossipSources,
): Cancel {
    const { settings: { availabilityZone }, timer, random } = context;
    const { gossip, usage, quarantine, directory, links } = sources;
    let round = 0;
    startLongPromptNotices(context, sources);
    return timer.every(gossipEveryMs, () => {
        const sameZonePeers = directory.peers().filter(peer => peer.availabilityZone === availabilityZone);
        const otherZonePeers = directory.peers().filter(peer => peer.availabilityZone !== availabilityZone);
        const rounds = Math.max(1, Math.ceil(sameZonePeers.length / sameZonePeersPerRound));
        round++;
        const receivers = sameZonePeers.filter((unused, index) => index % rounds === round % rounds);
        if (receivers.length > 0) {
            const withZones = random() * sameZonePeers.length < zoneSumReceivers;
            links.tell(receivers.map(({ address }) => address), {
                ...gossip.forSameZone(),
                ...usage.forSameZone(withZones),
            });
        }
        const otherZones = new Set(otherZonePeers.map(peer => peer.availabilityZone)).size;
        if (random() * (sameZonePeers.length + 1) < messagesPerOtherZone * otherZones) {
            const receiver = sample(otherZonePeers, 1, random).map(({ address }) => address);
            links.tell(receiver, { ...gossip.forOtherZone(), ...usage.forOtherZone() });
            const news = quarantine.snapshot();
            if (news !== undefined) {
                links.tell(receiver, news);
            }
        }
        gossip.apply(rounds * gossipEveryMs);
        usage.apply(rounds * gossipEveryMs);
    });
}
