/** Lines of the processes' logs, read back. */
import { parseAs } from "@rattanquay/schema";
import { z } from "zod";

const Line = z.looseObject({
    timestamp: z.iso.datetime(),
    instance: z.string(),
    message: z.string(),
});

/** One event of one process. `atMs` is on that process's time of day, which may differ from another's. */
export type LogLine = {
    readonly atMs: number;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
};

/** Fields that every line has, and that say nothing about its event. */
const commonFields: ReadonlySet<string> = new Set(["timestamp", "instance", "message", "level", "availabilityZone"]);

/** The lines of a text in its order. What stands before a line's JSON, as a collector may add it, is left out. */
export function readLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        return start < 0 ? [] : readLine(line.slice(start)) ?? [];
    });
}

/** Undefined for a line of another program, or one that was cut. */
function readLine(json: string): LogLine | undefined {
    const line = parseAs(Line, json);
    if (line === undefined) {
        return undefined;
    }
    const { timestamp, instance, message: event } = line;
    const fields = Object.fromEntries(Object.entries(line).filter(([name]) => !commonFields.has(name)));
    return { atMs: Date.parse(timestamp), instance, event, fields };
}
