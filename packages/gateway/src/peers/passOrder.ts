/** Sends orders through peers to engine instances that this process cannot reach itself. */
import { type OrderResult } from "@rattanquay/core";
import { type EngineOrder, type GatewayInstance, type UpstreamRecord } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type Links } from "./links";
import { type PeerDirectory } from "./peerDirectory";
import { sample } from "./sample";

/** The result of an order that peers sent, and how many peers in the instance's zone got no answer either. */
export type PassedOrder = { readonly result: OrderResult; readonly witnesses: number };

/** Longer than the time that the peer itself waits for the engine instance. */
const passLimits = { timeoutMs: 1_200 };
/** Peers in the instance's zone and in other zones that send an order: a partition rarely affects all of them. */
const sameZoneSenders = 4;
const otherZoneSenders = 2;

export function makeOrderPasser({ random }: GatewayContext, directory: PeerDirectory, links: Links) {
    return async (upstream: UpstreamRecord, order: EngineOrder): Promise<PassedOrder> => {
        const isSameZone = (peer: GatewayInstance): boolean => peer.availabilityZone === upstream.availabilityZone;
        const sendThrough = async (peer: GatewayInstance): Promise<OrderResult | undefined> => {
            const answer = await links.ask(peer.address, { kind: "passOrder", upstream, order }, passLimits);
            return answer?.kind === "orderPassed" ? answer.result : undefined;
        };
        const all = directory.peers();
        const [sameZone, otherZones] = await Promise.all([
            Promise.all(sample(all.filter(isSameZone), sameZoneSenders, random).map(sendThrough)),
            Promise.all(sample(all.filter(peer => !isSameZone(peer)), otherZoneSenders, random).map(sendThrough)),
        ]);
        const answered = [...sameZone, ...otherZones].find(found => found === "accepted" || found === "rejected");
        return {
            result: answered ?? "unanswered",
            witnesses: sameZone.filter(found => found === "unanswered").length,
        };
    };
}
