/** Reserves places for short work: as many as it recently used at once. */

export type ShortWorkReserve = {
    /** Records how many short requests run now. */
    readonly observe: (shortRunning: number, nowMs: number) => void;
    /** How many of `places` long requests may use. */
    readonly longPlaces: (places: number, nowMs: number) => number;
};

/** At least this share of the places is reserved, so that a burst after an idle period can start at once. */
const minShare = 0.1;
/** At most this share of the places is reserved, so that long requests still make progress. */
const maxShare = 0.5;
/** Time constant of the exponential decay of the recorded peak. */
const decayMs = 10_000;

export function makeShortWorkReserve(): ShortWorkReserve {
    let peak = 0;
    let peakAtMs = 0;
    const decayedPeak = (nowMs: number): number => peak * Math.exp(-Math.max(0, nowMs - peakAtMs) / decayMs);
    return {
        observe: (shortRunning, nowMs) => {
            if (shortRunning >= decayedPeak(nowMs)) {
                peak = shortRunning;
                peakAtMs = nowMs;
            }
        },
        longPlaces: (places, nowMs) => {
            const reserved = Math.min(places * maxShare, Math.max(places * minShare, decayedPeak(nowMs)));
            return Math.max(Math.min(1, places), Math.floor(places - Math.ceil(reserved)));
        },
    };
}
