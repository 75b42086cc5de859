/**
 * Keeps since when the configuration in force has been in force here, and when it was last confirmed to be the newest.
 *
 * A confirmation carries the latest time for which it is certain: a newer configuration may have been written at any moment
 * after that. Times are passed in as values, on the clock of the process.
 */
import { type Origin } from "./origin";

/** What is known here about how new the configuration in force is. */
export type ConfigurationEvidence = {
    readonly version: number;
    /** Where this process got the version from. */
    readonly origin: Origin;
    /** When the version came into force in this process. */
    readonly inForceSinceMs: number;
    /**
     * The latest time at which no newer usable configuration existed, as far as the store or a current relay has
     * stated. Undefined until one of them has confirmed it.
     */
    readonly confirmedAtMs: number | undefined;
    /** The highest version that this process has or that a relay has announced to it. */
    readonly newestKnownVersion: number;
};

/** The part of a relay's notice that states which configuration is the newest. */
export type ConfigurationNotice = {
    readonly configVersion: number;
    /** Whether the store answered the relay's last calls. */
    readonly isCurrent: boolean;
    readonly isLeaving: boolean;
};

export type ConfigurationAge = {
    /** Records that a version has come into force. */
    readonly noteInForce: (version: number, origin: Origin, nowMs: number) => void;
    /** Records that the store has stated all changes up to the time at which it was asked, and that they are applied. */
    readonly noteStoreAnswer: (askedAtMs: number) => void;
    /** Records that a peer, whose version is not newer than the one in force here, stated it to be the newest at a time. */
    readonly notePeerAnswer: (confirmedAtMs: number) => void;
    /**
     * Records a relay's notice, and the time at which the relay's version was confirmed, if that is known. A relay that is not
     * current confirms nothing, but may announce a newer version.
     */
    readonly noteNotice: (notice: ConfigurationNotice, confirmedAtMs: number | undefined) => void;
    /** Returns undefined while no configuration is in force. */
    readonly evidence: () => ConfigurationEvidence | undefined;
};

/** Time since the configuration was last confirmed to be the newest; infinite if it never was, or if there is none. */
export function confirmedAgeMs(evidence: ConfigurationEvidence | undefined, nowMs: number): number {
    return nowMs - (evidence?.confirmedAtMs ?? -Infinity);
}

type InForce = Pick<ConfigurationEvidence, "version" | "origin" | "inForceSinceMs">;

export function makeConfigurationAge(): ConfigurationAge {
    let inForce: InForce | undefined;
    let confirmedAtMs: number | undefined;
    /** The newest version that a relay has announced, and when a current relay last named it as the newest. */
    let announced = { version: 0, confirmedAtMs: -Infinity };

    const confirm = (atMs: number): void => {
        confirmedAtMs = Math.max(confirmedAtMs ?? -Infinity, atMs);
    };
    /** An older version than an announced one is not the newest, whatever an answer that lags behind seems to say. */
    const isNewestKnown = (): boolean => inForce !== undefined && inForce.version >= announced.version;
    return {
        noteInForce: (version, origin, nowMs) => {
            inForce = { version, origin, inForceSinceMs: nowMs };
            if (isNewestKnown() && announced.confirmedAtMs > -Infinity) {
                confirm(announced.confirmedAtMs);
            }
        },
        noteStoreAnswer: askedAtMs => {
            if (isNewestKnown()) {
                confirm(askedAtMs);
            }
        },
        notePeerAnswer: atMs => {
            if (isNewestKnown()) {
                confirm(atMs);
            }
        },
        noteNotice: ({ configVersion, isCurrent, isLeaving }, atMs) => {
            if (configVersion > announced.version) {
                announced = { version: configVersion, confirmedAtMs: -Infinity };
            }
            if (atMs === undefined || !isCurrent || isLeaving) {
                return;
            }
            if (configVersion === announced.version) {
                announced = { version: configVersion, confirmedAtMs: Math.max(announced.confirmedAtMs, atMs) };
            }
            if (isNewestKnown()) {
                confirm(atMs);
            }
        },
        evidence: () =>
            inForce === undefined ? undefined : {
                ...inForce,
                confirmedAtMs,
                newestKnownVersion: Math.max(inForce.version, announced.version),
            },
    };
}
