/** Reads the body of an operator's request, limited in size and time. Operators are known, and do not count as callers. */
import { type Settings } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage } from "node:http";

type BodyLimits = Pick<Settings["limits"], "maxBodyBytes" | "requestReadTimeoutMs">;

/** Resolves to undefined if the body is too large, late or incomplete. */
export function readOperatorBody(
    request: IncomingMessage,
    { maxBodyBytes, requestReadTimeoutMs }: BodyLimits,
    timer: Timer,
): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (bytes: Buffer | undefined): void => {
            cancel();
            request.removeAllListeners("data");
            resolve(bytes);
        };
        const cancel = timer.after(requestReadTimeoutMs, () => finish(undefined));
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBodyBytes) {
                finish(undefined);
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => finish(Buffer.concat(chunks)));
        request.on("error", () => finish(undefined));
        request.on("close", () => finish(undefined));
    });
}
