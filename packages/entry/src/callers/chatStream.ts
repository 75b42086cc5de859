/** Reads an engine's event stream. The stream is complete only with both a finish reason and the end marker. */
import { createParser } from "eventsource-parser";
import { type IncomingMessage } from "node:http";
import { type ChunkSink } from "./chatAnswer";
import { type AttemptResult } from "./chatAttempt";
import { parseChunk } from "./chunk";
import { type IdleWatch } from "./idleWatch";

const endMarker = "[DONE]";

export function readStream(
    response: IncomingMessage,
    sink: ChunkSink,
    end: (result: AttemptResult) => void,
    idle: IdleWatch,
): void {
    let streamId: unknown;
    let finishSeen = false;
    const handleChunk = (data: string): void => {
        const chunk = parseChunk(data);
        streamId ??= chunk?.id;
        if (chunk === undefined || chunk.id !== streamId) {
            end({ kind: "cut" });
            return;
        }
        finishSeen ||= typeof chunk.choices[0]?.finish_reason === "string";
        if (!sink.write(chunk, data, finishSeen)) {
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
                handleChunk(data);
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
