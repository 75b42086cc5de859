import { sleep, systemTimer } from "@rattanquay/timer";

/** A store of model weights whose throughput all readers share. */
export type WeightStore = {
    /** Resolves when the store has delivered this many bytes. Reads are served in the order of their requests. */
    readonly read: (bytes: number) => Promise<void>;
};

export function makeWeightStore(bytesPerSecond: number): WeightStore {
    let availableAtMs = 0;
    return {
        read: async bytes => {
            const nowMs = systemTimer.nowMs();
            availableAtMs = Math.max(availableAtMs, nowMs) + bytes / bytesPerSecond * 1_000;
            await sleep(systemTimer, availableAtMs - nowMs);
        },
    };
}
