/** Parses log lines of the processes. */
import { z } from "zod";

const Line = z.looseObject({
    timestamp: z.iso.datetime(),
    instance: z.string(),
    message: z.string(),
});

/** A log event of a process. `atMs` is that process's wall-clock time; clocks of processes may differ. */
export type LogLine = {
    readonly atMs: number;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
};

/** Fields common to all lines; they are left out of `LogLine.fields`. */
const commonFields: ReadonlySet<string> = new Set(["timestamp", "instance", "message", "level", "availabilityZone"]);

/** Parses log lines in order. Ignores any prefix before a line's JSON, such as a log collector adds. */
export function parseLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const parsed = start < 0 ? undefined : parseLine(line.slice(start));
        return parsed === undefined ? [] : expandChanges(parsed);
    });
}

const UpstreamChanges = z.array(z.looseObject({ upstream: z.string(), isGone: z.boolean().optional() }));

/** Splits a line about several upstreams into one event for each: `upstreamSeen` or `upstreamGone`. */
function expandChanges(line: LogLine): readonly LogLine[] {
    const { changes, ...common } = line.fields;
    const parsed = UpstreamChanges.safeParse(changes);
    if (line.event !== "upstreamsChanged" || !parsed.success) {
        return [line];
    }
    return parsed.data.map(({ isGone, ...change }) => ({
        ...line,
        event: isGone === true ? "upstreamGone" : "upstreamSeen",
        fields: { ...common, ...change },
    }));
}

function parseLine(json: string): LogLine | undefined {
    let input: unknown;
    try {
        input = JSON.parse(json);
    }
    catch {
        // The line is truncated or comes from another program.
        return undefined;
    }
    const parsed = Line.safeParse(input);
    if (!parsed.success) {
        return undefined;
    }
    const { timestamp, instance, message: event } = parsed.data;
    const fields = Object.fromEntries(Object.entries(parsed.data).filter(([name]) => !commonFields.has(name)));
    return { atMs: Date.parse(timestamp), instance, event, fields };
}
