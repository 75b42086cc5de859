/**
 * Tells the processes of the own zone at once when this process has sent a long prompt.
 *
 * A long prompt is prefilled in less time than the rounds of load messages take to reach all processes of a zone, and
 * without a notice the other processes send short requests behind it. The number of messages per second is bounded.
 */
import { type GatewayContext } from "../gatewayContext";
import { type UpstreamRegistry } from "../upstreams";
import { type Links } from "./links";
import { type LoadGossip } from "./loadGossip";
import { type PeerDirectory } from "./peerDirectory";

export type LongPromptNoticeOptions = {
    readonly registry: UpstreamRegistry;
    readonly gossip: LoadGossip;
    readonly directory: PeerDirectory;
    readonly links: Links;
};

/** Messages per second to all receivers together, at some 200 bytes each, and how many may be saved up. */
const messagesPerSecond = 24;
const maxSavedMessages = 96;
const msPerSecond = 1_000;

export function startLongPromptNotices(
    { settings: { availabilityZone }, timer }: GatewayContext,
    { registry, gossip, directory, links }: LongPromptNoticeOptions,
): void {
    let saved = maxSavedMessages;
    let atMs = timer.nowMs();
    registry.onPrefill(() => {
        const nowMs = timer.nowMs();
        saved = Math.min(maxSavedMessages, saved + (nowMs - atMs) * messagesPerSecond / msPerSecond);
        atMs = nowMs;
        const receivers = directory.peers().filter(peer => peer.availabilityZone === availabilityZone);
        if (receivers.length > 0 && receivers.length <= saved) {
            saved -= receivers.length;
            links.tell(receivers.map(({ address }) => address), gossip.forLongPrompt());
        }
    });
}
