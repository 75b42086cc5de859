/**
 * Serves other processes of the zone as a relay: sends its subscribers a notice whenever the cluster state has changed,
 * and at intervals so that they know that it is alive. Subscribers then request what they lack.
 */
import { eraOf, revisionOf, type StateNotice } from "@rattanquay/schema";
import { type Cancel } from "@rattanquay/timer";
import { type ClusterStateWatch } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { type Quarantine } from "../quarantine";
import { encodeMessage, type FrameLink } from "./frameLink";

export type StateRelay = {
    /** `sentAtMs` is the subscriber's clock, if the subscription states it. */
    readonly subscribe: (link: FrameLink, sentAtMs?: number) => void;
    /** Sends a last notice, after which no subscription is accepted. */
    readonly leave: () => void;
    readonly stop: () => void;
};

const noticeEveryMs = 300;
/** Changes within this time share one notice. */
const changeDelayMs = 15;
/** Changes of quarantines within this time are sent together. */
const quarantineDelayMs = 30;
/** Subscribers renew their subscription several times within this time. */
const subscriptionMs = 3_500;

export function startStateRelay(
    { settings: { instance }, timer, log }: GatewayContext,
    watch: ClusterStateWatch,
    quarantine: Quarantine,
): StateRelay {
    const { clusterState } = watch;
    const subscribedAtMs = new Map<FrameLink, number>();
    /** The version of the quarantines that each subscriber was sent last. */
    const quarantineVersions = new WeakMap<FrameLink, number>();
    let cancelPending: Cancel | undefined;
    let hasLeft = false;
    const makeNotice = (): StateNotice => ({
        kind: "stateNotice",
        instance,
        configVersion: clusterState.routes()?.version ?? 0,
        newestChange: revisionOf(clusterState.newestChange()),
        era: eraOf(clusterState.newestChange()),
        newestEvacuation: revisionOf(clusterState.evacuations.newest() ?? 0),
        evacuationsEra: eraOf(clusterState.evacuations.newest() ?? 0),
        configConfirmedAtMs: clusterState.configurationEvidence()?.confirmedAtMs,
        isCurrent: watch.isCurrent(),
        isLeaving: hasLeft,
    });
    /** Sends quarantines to subscribers that lack the newest state, as a part of the notice. */
    const sendQuarantines = (): void => {
        const version = quarantine.version();
        const behind = [...subscribedAtMs.keys()].filter(link => (quarantineVersions.get(link) ?? 0) < version);
        const news = behind.length === 0 ? undefined : quarantine.snapshot();
        if (news !== undefined) {
            const encoded = encodeMessage(news);
            behind.forEach(link => link.tell(encoded));
        }
        behind.forEach(link => quarantineVersions.set(link, version));
    };
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
        sendQuarantines();
    };
    const notifySoon = (): void => {
        if (subscribedAtMs.size > 0) {
            cancelPending ??= timer.after(changeDelayMs, notifyAll);
        }
    };
    clusterState.onUpstreams(notifySoon);
    clusterState.onConfiguration(notifySoon);
    clusterState.evacuations.onChange(notifySoon);
    clusterState.onEra(notifySoon);
    let cancelQuarantines: Cancel | undefined;
    // A process that has just started subscribes before its peers know of it.
    quarantine.onChange(() => {
        if (subscribedAtMs.size > 0) {
            cancelQuarantines ??= timer.after(quarantineDelayMs, () => {
                cancelQuarantines = undefined;
                sendQuarantines();
            });
        }
    });
    const cancelNotices = timer.every(noticeEveryMs, notifyAll);
    return {
        subscribe: (link, sentAtMs) => {
            if (sentAtMs !== undefined) {
                link.tell(encodeMessage({ kind: "subscribed", instance, sentAtMs, clockMs: timer.nowMs() }));
            }
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
                sendQuarantines();
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
            cancelQuarantines?.();
        },
    };
}
