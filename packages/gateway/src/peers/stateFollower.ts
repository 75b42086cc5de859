/**
 * Keeps the cluster state up to date through relays of the zone, and has the store watched only while that is needed.
 *
 * The notices of two relays are compared with the local state. What is missing is requested from the preferred relay
 * at once, and from the other one if it is still missing a moment later.
 */
import { makePeerClocks, makeStateSource, type PeerClocks } from "@rattanquay/core";
import { type GatewayInstance, type StateNotice, type SubscriptionAnswer } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { anyTrue } from "../anyTrue";
import { type ClusterStateWatch, type RelayConfirmation } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { makeAnnouncedLag } from "./announcedLag";
import { makeAnnouncedState } from "./announcedState";
import { type Links } from "./links";
import { type InstanceSource, type PeerDirectory } from "./peerDirectory";
import { makeConfirmationRequester, makeStateRequester, stateRequestTimeoutMs } from "./stateRequester";
import { makeUnreadableVersion } from "./unreadableVersion";

export type StateFollower = {
    readonly receiveNotice: (notice: StateNotice) => void;
    readonly receiveSubscriptionAnswer: (answer: SubscriptionAnswer) => void;
    readonly noteSubscriber: () => void;
    /** Requests the state from both relays at once. Resolves to whether one has answered. */
    readonly confirm: () => Promise<boolean>;
    /**
     * The same, and has the relays confirm the configuration with the store, unless one of them is sending the state already.
     * Resolves at the latest when no relay has answered in time.
     */
    readonly confirmConfiguration: () => Promise<RelayConfirmation>;
    /** Requests the list of processes from a relay; undefined if there is none or it does not know. */
    readonly requestInstances: InstanceSource;
    /** Whether this process is a relay of its zone. */
    readonly isRelay: () => boolean;
    /** Whether this process has the first rank of its zone. */
    readonly isFirst: () => boolean;
    readonly stop: () => void;
};

export type StateFollowerOptions = {
    readonly context: GatewayContext;
    readonly watch: ClusterStateWatch;
    readonly directory: PeerDirectory;
    readonly links: Links;
    /** Whether this process plans, and so must see the effects of its orders as early as possible. */
    readonly isPlanner: () => boolean;
};

const stepEveryMs = 200;
const subscribeEveryMs = 1_000;
/** How long the preferred relay may take before the state is requested from the other one. */
const otherRelayDelayMs = 250;
/** Changes that relays have announced but not delivered for this long are read from the store. */
const maxLagMs = 800;
/** How long they may take if they are arriving. */
const maxArrivingLagMs = 2_000;

export function startStateFollower(options: StateFollowerOptions): StateFollower {
    const { context: { settings, timer, log }, watch, directory, links } = options;
    const { clusterState } = watch;
    const source = makeStateSource(settings.instance);
    const clocks = makePeerClocks();
    const requesting = new Set<string>();
    let knownPeers: readonly GatewayInstance[] | undefined;
    let relays: readonly string[] = [];
    let readsStore = true;

    const addressOf = (instance: string): string | undefined =>
        directory.peers().find(peer => peer.instance === instance)?.address;
    const isArrivingFrom = (instance: string): boolean => {
        const address = requesting.has(instance) ? addressOf(instance) : undefined;
        return address !== undefined && links.isReceiving(address, stateRequestTimeoutMs);
    };
    const isStateArriving = (): boolean => relays.some(isArrivingFrom);
    const updateCandidates = (): void => {
        if (directory.peers() === knownPeers) {
            return;
        }
        knownPeers = directory.peers();
        const sameZone = knownPeers.filter(peer => peer.availabilityZone === settings.availabilityZone);
        const own = { instance: settings.instance, cores: settings.cores };
        source.setCandidates([own, ...sameZone.map(({ instance, cores = 1 }) => ({ instance, cores }))]);
    };
    const subscribe = makeSubscriber(links, addressOf, timer);
    const unreadable = makeUnreadableVersion(timer);
    const announcedState = makeAnnouncedState(clusterState, unreadable);
    const { isBehind, isWorthRequesting, lacksEvacuation, versionOf } = announcedState;
    const announced = makeAnnouncedLag(isBehind);
    const step = (): void => {
        const nowMs = timer.nowMs();
        updateCandidates();
        // Notices wait behind an answer that is arriving.
        relays.filter(isArrivingFrom).forEach(instance => source.noteBytes(instance, nowMs));
        relays = source.chooseRelays(nowMs);
        relays.forEach(subscribe);
        watch.setFollowing(relays.length > 0);
        const isIncomplete = clusterState.routes() === undefined || !clusterState.hasCompleteList()
            || clusterState.evacuations.newest() === undefined;
        const mustRead = source.mustReadStore(nowMs) || isIncomplete || announced.isLagging(nowMs, maxLagMs)
            || options.isPlanner();
        // Reading the store would bring the same over the same link, and delay both.
        const waitsForRelay = !readsStore && isStateArriving() && !announced.isLagging(nowMs, maxArrivingLagMs)
            && !options.isPlanner();
        if (mustRead !== readsStore && !waitsForRelay) {
            log.info("stateSource", { readsStore: mustRead, relays });
            readsStore = mustRead;
            watch.setActive(mustRead);
        }
    };
    const requestState = makeStateRequester(options.context, clusterState, links, addressOf, unreadable, versionOf);
    const requestConfirmation = makeConfirmationRequester(requestState, clusterState, timer);
    const requestFrom = async (instance: string): Promise<void> => {
        if (requesting.has(instance)) {
            return;
        }
        requesting.add(instance);
        const announcedBefore = announced.newest();
        const isAnswered = await requestState(instance);
        requesting.delete(instance);
        // The relay may have sent this answer before it learned what it has announced meanwhile.
        const newest = announced.newest();
        const isNewlyAnnounced = newest !== announcedBefore && newest?.instance === instance;
        if (isAnswered && isNewlyAnnounced && lacksEvacuation(newest)) {
            void requestFrom(instance);
        }
    };
    const cancelSteps = timer.every(stepEveryMs, step);
    return {
        receiveNotice: notice => {
            source.noteNotice(notice, timer.nowMs());
            announcedState.note(notice);
            clusterState.configurationAge.noteNotice(notice, confirmationTime(notice, clocks, timer.nowMs()));
            if (!isBehind(notice)) {
                return;
            }
            announced.note(notice, timer.nowMs());
            if (!isWorthRequesting(notice)) {
                return;
            }
            if (notice.instance === relays[0]) {
                void requestFrom(notice.instance);
                return;
            }
            timer.after(otherRelayDelayMs, () => {
                if (isWorthRequesting(notice) && !isStateArriving()) {
                    void requestFrom(notice.instance);
                }
            });
        },
        receiveSubscriptionAnswer: ({ instance, clockMs, sentAtMs }) => clocks.noteReading(instance, clockMs, sentAtMs),
        confirm: () => anyTrue(relays.map(instance => requestState(instance))),
        confirmConfiguration: async () => {
            // A large configuration fills the link.
            if (isStateArriving()) {
                return "arriving";
            }
            const asked = relays.filter(relay => !requesting.has(relay));
            return await anyTrue(asked.map(requestConfirmation)) ? "confirmed" : "unconfirmed";
        },
        requestInstances: () => requestInstances(relays[0] === undefined ? undefined : addressOf(relays[0]), links),
        isRelay: source.isRelay,
        isFirst: source.isFirst,
        noteSubscriber: () => source.noteSubscriber(timer.nowMs()),
        stop: cancelSteps,
    };
}

/** Returns a function that renews the subscription at a relay when it is due. */
function makeSubscriber(
    links: Links,
    addressOf: (instance: string) => string | undefined,
    timer: Timer,
): (instance: string) => void {
    const subscribedAtMs = new Map<string, number>();
    return instance => {
        const address = addressOf(instance);
        const nowMs = timer.nowMs();
        if (address !== undefined && nowMs - (subscribedAtMs.get(instance) ?? -Infinity) >= subscribeEveryMs) {
            subscribedAtMs.set(instance, nowMs);
            links.tell([address], { kind: "subscribe", sentAtMs: nowMs });
        }
    };
}

async function requestInstances(
    address: string | undefined,
    links: Links,
): Promise<readonly GatewayInstance[] | undefined> {
    const answer = address === undefined
        ? undefined
        : await links.ask(address, { kind: "instances" }, { timeoutMs: stateRequestTimeoutMs });
    return answer?.kind === "instances" && answer.instances.length > 0 ? answer.instances : undefined;
}

/** The earliest local time for which a relay's notice can state that its configuration was the newest, if it does. */
function confirmationTime(
    { instance, configConfirmedAtMs }: StateNotice,
    clocks: PeerClocks,
    nowMs: number,
): number | undefined {
    return configConfirmedAtMs === undefined ? undefined : clocks.toLocalMs(instance, configConfirmedAtMs, nowMs);
}
