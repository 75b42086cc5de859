/**
 * Whether a request may be refused for good, with 401 or 404: callers never repeat it then, so the configuration that it is
 * refused by must be known to be the newest.
 */

/** How new the configuration in force is known to be, on the clock of the process. */
export type ConfigurationCurrency = {
    readonly version: number;
    /** The latest time at which no newer version existed; undefined if that was never confirmed. */
    readonly confirmedAtMs: number | undefined;
    /** The highest version that is known to exist. */
    readonly newestKnownVersion: number;
};

/** Half of the two seconds within which a version must be in force; relays confirm theirs several times within it. */
export const maxConfirmationAgeMs = 1_000;

export function mayRefuseFinally(currency: ConfigurationCurrency | undefined, nowMs: number): boolean {
    return currency?.confirmedAtMs !== undefined
        && currency.version >= currency.newestKnownVersion
        && nowMs - currency.confirmedAtMs <= maxConfirmationAgeMs;
}
