/**
 * Serves other processes of the zone as a relay: sends its subscribers a notice whenever the cluster state has changed,
 * and at intervals so that they know that it is alive. Subscribers then request what they lack.
 */
import { type StateNotice } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type ClusterStateWatch } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { encodeMessage, type FrameLink } from "./frameLink";

export type StateRelay = {
    readonly subscribe: (link: FrameLink) => void;
    /** Sends a last notice, after which no subscription is accepted. */
    readonly leave: () => void;
    readonly stop: () => void;
};

const noticeEveryMs = 300;
/** Changes within this time share one notice. */
const changeDelayMs = 15;
/** Subscribers renew their subscription several times within this time. */
const subscriptionMs = 3_500;

export function startStateRelay(
    { settings: { instance }, timer, log }: GatewayContext,
    watch: ClusterStateWatch,
): StateRelay {
    const { clusterState } = watch;
    const subscribedAtMs = new Map<FrameLink, number>();
    let cancelPending: Cancel | undefined;
    let hasLeft = false;
    const makeNotice = (): StateNotice => ({
        kind: "stateNotice",
        instance,
        configVersion: clusterState.routes()?.version ?? 0,
        newestChange: clusterState.newestChange(),
        isCurrent: watch.isCurrent(),
        isLeaving: hasLeft,
    });
    const removeEnded = (): void => {
        for (const [link, atMs] of subscribedAtMs) {
            if (!link.isOpen() || timer.nowMs() - atMs > subscriptionMs) {
                subscribedAtMs.delete(link);
            }
        }
    };
    const notifyAll = (): void => {
        cancelPending?.();
        cancelPending = undefined;
        removeEnded();
        watch.setRelaying(subscribedAtMs.size > 0);
        const notice = encodeMessage(makeNotice());
        subscribedAtMs.forEach((unused, link) => link.tell(notice));
    };
    const notifySoon = (): void => {
        if (subscribedAtMs.size > 0) {
            cancelPending ??= timer.after(changeDelayMs, notifyAll);
        }
    };
    clusterState.onUpstreams(notifySoon);
    clusterState.onConfiguration(notifySoon);
    const cancelNotices = timer.every(noticeEveryMs, notifyAll);
    return {
        subscribe: link => {
            if (hasLeft) {
                link.tell(encodeMessage(makeNotice()));
                return;
            }
            const isNew = !subscribedAtMs.has(link);
            watch.setRelaying(true);
            subscribedAtMs.set(link, timer.nowMs());
            if (isNew) {
                log.info("stateSubscribed", { subscribers: subscribedAtMs.size });
                link.tell(encodeMessage(makeNotice()));
            }
        },
        leave: () => {
            hasLeft = true;
            notifyAll();
            subscribedAtMs.clear();
        },
        stop: () => {
            cancelNotices();
            cancelPending?.();
        },
    };
}
