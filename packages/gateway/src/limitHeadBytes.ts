/** Bounds what an answer may send before its head is complete: interim answers and empty lines may go on without end. */
import { type ClientRequest } from "node:http";

/** Several times the largest head that Node reads. */
const maxHeadBytes = 65_536;

/** Calls `onExcess` once if more than the largest head has arrived and the answer has not begun. */
export function limitHeadBytes(request: ClientRequest, onExcess: () => void): void {
    request.once("socket", socket => {
        let received = 0;
        const stop = (): void => void socket.off("data", count);
        const count = (bytes: Buffer): void => {
            // The bytes of this event may complete the head.
            if (received > maxHeadBytes) {
                stop();
                onExcess();
            }
            received += bytes.length;
        };
        // Before Node's own listener, which may find the head in the same bytes.
        socket.prependListener("data", count);
        request.once("response", stop);
        request.once("close", stop);
    });
}
