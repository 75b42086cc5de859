import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { exitCodes } from "../exitCodes";
import { type LogLine, parseLogLines, requestTimeline, type TimelineEntry } from "../explain";
import { print, printError } from "../output";
import { type Command } from "../runCommand";

export const explain: Command = {
    name: "explain",
    usage: "explain ID FILE... [--json]",
    summary: "Print the timeline of a request from the logs of several processes.\n\n"
        + "Shows each log line of the request, ordered by time, with the state known to its process at that time\n"
        + "and the planner's events for the upstreams in the line. The exit code is 1 if no line has the id.",
    run: async args => {
        const { values, positionals: [requestId, ...files] } = parseArgs({
            args: [...args],
            options: { json: { type: "boolean", default: false } },
            allowPositionals: true,
        });
        if (requestId === undefined || files.length === 0) {
            throw new Error("ID or FILE is missing.");
        }
        const timeline = requestTimeline(requestId, files.flatMap(file => parseLogLines(readFileSync(file, "utf8"))));
        if (values.json) {
            print(JSON.stringify(timeline));
        }
        else if (timeline.length === 0) {
            printError(`No log line has the request id ${requestId}.`);
        }
        else {
            print(timeline.map(renderEntry).join("\n"));
        }
        return timeline.length === 0 ? exitCodes.refused : exitCodes.ok;
    },
};

function renderEntry({ line, believed, around }: TimelineEntry): string {
    return [
        renderLine(line),
        ...believed.map(other => `    believed  ${renderLine(other)}`),
        ...around.map(other => `    around    ${renderLine(other)}`),
    ].join("\n");
}

function renderLine({ atMs, instance, event, fields }: LogLine): string {
    const rendered = Object.entries(fields).map(([name, value]) => `${name}=${renderValue(value)}`);
    return [new Date(atMs).toISOString(), instance, event, ...rendered].join(" ");
}

function renderValue(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}
