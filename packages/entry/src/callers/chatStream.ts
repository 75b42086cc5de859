/** Reading an engine's stream: it is whole only with its finish reason and its end marker. */
import { createParser } from "eventsource-parser";
import { type IncomingMessage } from "node:http";
import { type Sink } from "./chatAnswer";
import { type AttemptResult } from "./chatAttempt";
import { readChunk } from "./chunk";
import { type IdleWatch } from "./idleWatch";

const endMarker = "[DONE]";

export function takeStream(
    response: IncomingMessage,
    sink: Sink,
    end: (result: AttemptResult) => void,
    idle: IdleWatch,
): void {
    let streamId: unknown;
    let finishSeen = false;
    const takeChunk = (data: string): void => {
        const chunk = readChunk(data);
        streamId ??= chunk?.id;
        if (chunk === undefined || chunk.id !== streamId) {
            end({ kind: "cut" });
            return;
        }
        finishSeen ||= typeof chunk.choices[0]?.finish_reason === "string";
        if (!sink.take(chunk, data, finishSeen)) {
            response.pause();
            idle.pause();
            sink.onDrain(() => {
                idle.resume();
                response.resume();
            });
        }
    };
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data !== endMarker) {
                takeChunk(data);
                return;
            }
            if (finishSeen) {
                sink.finish();
            }
            end({ kind: finishSeen ? "whole" : "cut" });
        },
    });
    response.setEncoding("utf8");
    response.on("data", (text: string) => {
        idle.touch();
        parser.feed(text);
    });
    response.on("end", () => end({ kind: "cut" }));
    response.on("error", () => end({ kind: "cut" }));
    response.on("close", () => end({ kind: "cut" }));
}
