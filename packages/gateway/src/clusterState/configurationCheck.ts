/**
 * Confirms on demand that the configuration in force is the newest, before a request is refused for good.
 *
 * All requests that wait share one question, and a question is not repeated within a second, so that a flood of wrong keys
 * costs the store no more than that.
 */
import { maxConfirmationAgeMs, mayRefuseFinally } from "@rattanquay/core";
import { sleep, type Timer } from "@rattanquay/timer";
import { type ClusterState } from "./clusterState";

export type ConfigurationCheck = {
    /** Whether the configuration in force was confirmed recently enough to refuse a request for good. */
    readonly isConfirmed: () => boolean;
    /** Asks whether it is the newest. Resolves as soon as it is confirmed, and after a short time in any case. */
    readonly confirm: () => Promise<void>;
    /** The same, asking the store only; for a peer that relies on the answer. */
    readonly confirmWithStore: () => Promise<void>;
};

/** What came of asking the relays; `arriving`: nothing was asked, as one of them is sending what is missing here. */
export type RelayConfirmation = "confirmed" | "unconfirmed" | "arriving";

export type ConfigurationSources = {
    /** Whether this process follows the store itself. */
    readonly readsStore: () => boolean;
    readonly askStore: () => Promise<unknown>;
    /** Asks the relays of the zone. */
    readonly askRelays: () => Promise<RelayConfirmation | undefined>;
};

/** A request that is refused with 503 is soon repeated elsewhere, so it doesn't wait long for a source that is slow. */
const maxWaitMs = 400;
/** A confirmation that is passed on must still count at the process that asked for it. */
const maxPassedOnAgeMs = maxConfirmationAgeMs / 2;
/** How long the relays may take before the store is asked. */
const relaysMs = 200;
/** No shorter than a confirmation counts, so that answered questions are no more frequent either. */
const askStoreEveryMs = maxConfirmationAgeMs;
const askRelaysEveryMs = 250;
/** How often it is looked whether a configuration that was arriving has come. */
const arrivalCheckMs = 25;

export function makeConfigurationCheck(
    clusterState: Pick<ClusterState, "configurationEvidence">,
    timer: Timer,
    sources: ConfigurationSources,
): ConfigurationCheck {
    const isConfirmed = (): boolean => mayRefuseFinally(clusterState.configurationEvidence(), timer.nowMs());
    const askStore = shareQuestion(sources.askStore, askStoreEveryMs, timer);
    const askRelays = shareQuestion(sources.askRelays, askRelaysEveryMs, timer);
    const confirmWithStore = async (): Promise<void> => {
        const { confirmedAtMs = -Infinity } = clusterState.configurationEvidence() ?? {};
        if (timer.nowMs() - confirmedAtMs > maxPassedOnAgeMs) {
            await within(maxWaitMs, askStore(), timer);
        }
    };
    const untilConfirmed = async (): Promise<void> => {
        const endMs = timer.nowMs() + maxWaitMs;
        while (!isConfirmed() && timer.nowMs() < endMs) {
            await sleep(timer, arrivalCheckMs);
        }
    };
    const awaitArrival = shareQuestion(untilConfirmed, 0, timer);
    const confirmByAll = async (): Promise<void> => {
        const relays = sources.readsStore() ? undefined : await within(relaysMs, askRelays(), timer);
        if (relays === "arriving") {
            // The store would send the same over the same link.
            await awaitArrival();
        }
        else if (!isConfirmed()) {
            await askStore();
        }
    };
    return {
        isConfirmed,
        confirm: async () => void await within(maxWaitMs, confirmByAll(), timer),
        confirmWithStore,
    };
}

/** Returns a function that asks anew only if the last question is over and began long enough ago; else it has that one's answer. */
function shareQuestion<T>(ask: () => Promise<T>, everyMs: number, timer: Timer): () => Promise<T> {
    let beganAtMs = -Infinity;
    let isUnderWay = false;
    let last: Promise<T> | undefined;
    return () => {
        if (last === undefined || (!isUnderWay && timer.nowMs() - beganAtMs >= everyMs)) {
            beganAtMs = timer.nowMs();
            isUnderWay = true;
            last = ask().finally(() => isUnderWay = false);
        }
        return last;
    };
}

/** Resolves with the promise, or to undefined after a time if that is sooner. */
function within<T>(ms: number, promise: Promise<T>, timer: Timer): Promise<T | undefined> {
    return new Promise(resolve => {
        const cancel = timer.after(ms, () => resolve(undefined));
        void promise.then(value => {
            cancel();
            resolve(value);
        });
    });
}
