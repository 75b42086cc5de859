/** What a process of this machine uses, as the kernel counts it. */
import { systemTimer } from "@rattanquay/timer";
import { readdirSync, readFileSync } from "node:fs";

export type ProcessUse = {
    /** The most resident memory so far, in bytes. */
    readonly peakMemoryBytes: number;
    /** The most open descriptors that a sample has found. */
    readonly peakDescriptors: number;
};

export type UseWatch = {
    /** Ends the samples. What the last one found stays, if the process has ended. */
    readonly stop: () => ProcessUse;
};

const sampleEveryMs = 50;
const bytesPerKilobyte = 1_024;

export function watchUse(pid: number): UseWatch {
    let peakMemoryBytes = 0;
    let peakDescriptors = 0;
    const sample = (): void => {
        try {
            const status = readFileSync(`/proc/${pid}/status`, "utf8");
            const peak = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
            peakMemoryBytes = Math.max(peakMemoryBytes, peak);
            peakDescriptors = Math.max(peakDescriptors, readdirSync(`/proc/${pid}/fd`).length);
        }
        catch {
            // The process has ended.
        }
    };
    const cancel = systemTimer.every(sampleEveryMs, sample);
    return {
        stop: () => {
            cancel();
            sample();
            return { peakMemoryBytes, peakDescriptors };
        },
    };
}
