/** Reads the body of a caller's request, limited in size, time and by the budget of the process. */
import { type Holding } from "@rattanquay/core";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";
import { type RequestBody, type SegmentCollector } from "./segments";
import { stopReading, type Turns } from "./turns";

export type CallerBody =
    | { readonly kind: "read"; readonly body: RequestBody }
    /** `bytes` is the announced size, or how much had arrived when the body was too large. */
    | { readonly kind: "tooLarge"; readonly bytes: number }
    /** It did not arrive in time, or made no progress for too long. */
    | { readonly kind: "late" }
    /** The process holds too much to take it. */
    | { readonly kind: "busy" }
    /** The caller closed the connection. */
    | { readonly kind: "gone" };

export type BodyLimits = {
    /** Asked again with each part that arrives, since the bound can be raised meanwhile. */
    readonly maxBytes: () => number;
    /** Time for the whole body. */
    readonly limitMs: number;
};

export type BodyReading = {
    readonly holding: Holding;
    readonly collector: SegmentCollector;
    readonly turns: Turns;
    readonly timer: Timer;
    /** Passes on how the reading is to be ended from outside. */
    readonly onEndable: (end: (body: Exclude<CallerBody, { kind: "read" }>) => void) => void;
};

/** How many chunks arrive between two checks of their size. */
const checkEveryChunks = 1_024;
/** Smaller chunks cost far more time to parse than their bytes justify. */
const minMeanChunkBytes = 64;

export function readCallerBody(
    request: IncomingMessage,
    { maxBytes, limitMs }: BodyLimits,
    { holding, collector, turns, timer, onEndable }: BodyReading,
): Promise<CallerBody> {
    return new Promise(resolve => {
        let size = 0;
        let chunks = 0;
        let isOver = false;
        const finish = (body: CallerBody): void => {
            if (isOver) {
                return;
            }
            isOver = true;
            cancel();
            turns.leave(request);
            request.off("data", onData);
            if (body.kind !== "read") {
                collector.discard();
                // The rest of the block that is being parsed is dropped, and nothing more is read.
                if (!holding.isPaused) {
                    request.resume();
                }
                timer.after(0, () => {
                    // Behind a body that has come whole, the connection goes on to the next request.
                    if (!request.complete) {
                        stopReading(request);
                    }
                });
            }
            resolve(body);
        };
        const onData = (chunk: Buffer): void => {
            size += chunk.length;
            holding.moved = size;
            if (size > maxBytes()) {
                finish({ kind: "tooLarge", bytes: size });
                return;
            }
            if (!collector.push(chunk)) {
                finish({ kind: "busy" });
                return;
            }
            if (++chunks % checkEveryChunks === 0 && size < chunks * minMeanChunkBytes) {
                turns.join(request, holding);
            }
        };
        const cancel = timer.after(limitMs, () => finish({ kind: "late" }));
        onEndable(finish);
        const announcedBytes = Number(request.headers["content-length"] ?? 0);
        if (announcedBytes > maxBytes()) {
            finish({ kind: "tooLarge", bytes: announcedBytes });
            return;
        }
        request.on("data", onData);
        request.on("end", () => finish({ kind: "read", body: collector.body() }));
        request.on("error", () => finish({ kind: "gone" }));
        request.on("close", () => finish({ kind: "gone" }));
    });
}
