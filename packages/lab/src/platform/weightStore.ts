import { sleep, systemTimer } from "@rattanquay/timer";

/** A store of model weights with one rate for all who read from it. */
export type WeightStore = {
    /** Resolves when the store has given out this many bytes, after everything asked for before. */
    readonly read: (bytes: number) => Promise<void>;
};

export function makeWeightStore(bytesPerSecond: number): WeightStore {
    let freeAtMs = 0;
    return {
        read: async bytes => {
            const nowMs = systemTimer.nowMs();
            freeAtMs = Math.max(freeAtMs, nowMs) + bytes / bytesPerSecond * 1_000;
            await sleep(systemTimer, freeAtMs - nowMs);
        },
    };
}
