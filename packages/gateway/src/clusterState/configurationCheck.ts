/**
 * Confirms on demand that the configuration in force is the newest, before a request is refused for good.
 *
 * All requests that wait share one question, and a question is not repeated within a second, so that a flood of wrong keys
 * costs the store no more than that.
 */
import { maxConfirmationAgeMs, mayRefuseFinally } from "@rattanquay/core";
import { type Timer } from "@rattanquay/timer";
import { type ClusterState } from "./clusterState";

export type ConfigurationCheck = {
    /** Whether the configuration in force was confirmed recently enough to refuse a request for good. */
    readonly isConfirmed: () => boolean;
    /** Asks whether it is the newest. Resolves as soon as it is confirmed, and after a short time in any case. */
    readonly confirm: () => Promise<void>;
    /** The same, asking the store only; for a peer that relies on the answer. */
    readonly confirmWithStore: () => Promise<void>;
};

export type ConfigurationSources = {
    /** Whether this process follows the store itself. */
    readonly readsStore: () => boolean;
    readonly askStore: () => Promise<unknown>;
    /** Asks the relays of the zone. */
    readonly askRelays: () => Promise<unknown>;
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
    const confirmByAll = async (): Promise<void> => {
        if (!sources.readsStore()) {
            await within(relaysMs, askRelays(), timer);
        }
        if (!isConfirmed()) {
            await askStore();
        }
    };
    return {
        isConfirmed,
        confirm: () => within(maxWaitMs, confirmByAll(), timer),
        confirmWithStore,
    };
}

/** Returns a function that joins the question under way, or asks anew unless the last one began too short a time ago. */
function shareQuestion(ask: () => Promise<unknown>, everyMs: number, timer: Timer): () => Promise<unknown> {
    let beganAtMs = -Infinity;
    let underWay: Promise<unknown> | undefined;
    return () => {
        if (underWay === undefined && timer.nowMs() - beganAtMs >= everyMs) {
            beganAtMs = timer.nowMs();
            underWay = ask().finally(() => underWay = undefined);
        }
        return underWay ?? Promise.resolve();
    };
}

/** Resolves with the promise, or after a time if that is sooner. */
function within(ms: number, promise: Promise<unknown>, timer: Timer): Promise<void> {
    return new Promise(resolve => {
        const cancel = timer.after(ms, resolve);
        void promise.then(() => {
            cancel();
            resolve();
        });
    });
}
