/** Reads the platform's list of live and leaving instances over HTTP. The list lags behind the actual state. */
import { InstanceList } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type TableOutcome } from "./table";

export type InstanceListClient = {
    readonly list: () => Promise<TableOutcome<InstanceList>>;
};

type Options = {
    readonly endpoint: string;
    /** Time without a byte of the answer. */
    readonly timeoutMs: number;
    /** Time for a whole answer that goes on arriving. */
    readonly longestMs?: number;
    readonly timer: Timer;
};

/** A list of many instances takes seconds over a slow link, so it is not given up while it goes on arriving. */
const defaultLongestMs = 10_000;

/** Requests `GET <endpoint>`. A response that does not match the schema counts as unavailable. */
export function makeInstanceListClient(options: Options): InstanceListClient {
    return {
        list: async () => {
            const progress = watchProgress(options);
            try {
                const response = await fetch(options.endpoint, { signal: progress.signal });
                const text = await readText(response, progress.noteBytes);
                if (!response.ok) {
                    return { kind: "unavailable", reason: `status ${response.status}` };
                }
                return { kind: "done", value: InstanceList.parse(JSON.parse(text)) };
            }
            catch (error) {
                return { kind: "unavailable", reason: (error as Error).message };
            }
            finally {
                progress.stop();
            }
        },
    };
}

/** A signal that aborts when no bytes have been noted for `timeoutMs`, or after `longestMs` as a whole. */
function watchProgress({ timer, timeoutMs, longestMs = defaultLongestMs }: Options) {
    const controller = new AbortController();
    const stall = (): void => controller.abort(new Error(`no bytes for ${timeoutMs} ms`));
    const cancelWhole = timer.after(longestMs, () => controller.abort(new Error(`not complete after ${longestMs} ms`)));
    let cancelStall = timer.after(timeoutMs, stall);
    return {
        signal: controller.signal,
        noteBytes: () => {
            cancelStall();
            cancelStall = timer.after(timeoutMs, stall);
        },
        stop: () => {
            cancelStall();
            cancelWhole();
        },
    };
}

async function readText(response: Response, noteBytes: () => void): Promise<string> {
    noteBytes();
    const parts: Uint8Array[] = [];
    for await (const part of response.body ?? []) {
        noteBytes();
        parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
}
