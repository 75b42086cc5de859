/** Places that long work cannot take: as many as short work has lately needed at once. */

export type PlaceReserve = {
    /** Notes how much short work runs now. */
    readonly note: (shortRunning: number, nowMs: number) => void;
    /** How many of `places` long work may hold. */
    readonly longPlaces: (places: number, nowMs: number) => number;
};

/** Short work keeps at least this share of the places, so that the first burst after a quiet time finds some. */
const leastShare = 0.1;
/** Short work keeps at most this share of the places from long work, which must finish, too. */
const greatestShare = 0.5;
const memoryMs = 10_000;

export function makePlaceReserve(): PlaceReserve {
    let peak = 0;
    let peakAtMs = 0;
    const faded = (nowMs: number): number => peak * Math.exp(-Math.max(0, nowMs - peakAtMs) / memoryMs);
    return {
        note: (shortRunning, nowMs) => {
            if (shortRunning >= faded(nowMs)) {
                peak = shortRunning;
                peakAtMs = nowMs;
            }
        },
        longPlaces: (places, nowMs) => {
            const kept = Math.min(places * greatestShare, Math.max(places * leastShare, faded(nowMs)));
            return Math.max(Math.min(1, places), Math.floor(places - Math.ceil(kept)));
        },
    };
}
