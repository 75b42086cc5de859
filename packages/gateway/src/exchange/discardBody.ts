/** Reads and drops the rest of an unneeded answer, so that its connection can be used again. */
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

/** Bodies of refusals are a line of text. Beyond these, a new connection costs less than reading on. */
const maxDiscardedBytes = 16_384;
const maxDiscardMs = 250;

/** Reads the answer to its end; calls `closeConnection` instead if the body is long or does not end in time. */
export function discardBody(answer: IncomingMessage, timer: Timer, closeConnection: () => void): void {
    if (Number(answer.headers["content-length"] ?? 0) > maxDiscardedBytes) {
        closeConnection();
        return;
    }
    let size = 0;
    const cancel = timer.after(maxDiscardMs, closeConnection);
    answer.on("data", (bytes: Buffer) => {
        size += bytes.length;
        if (size > maxDiscardedBytes) {
            closeConnection();
        }
    });
    answer.on("close", cancel);
}
