/**
 * What became of one request: each line that names it, in order of time, with what its process believed then and what was
 * happening to the upstreams that it names.
 */
import { type LogLine } from "./logLine";

/** One line of the request, what its process believed at that time, and what happened around it. */
export type Chapter = {
    readonly line: LogLine;
    /** The latest line of each kind that the same process had written before. */
    readonly believed: readonly LogLine[];
    /** Lines of any process about the upstreams that the line names, shortly before and after it. */
    readonly around: readonly LogLine[];
};

/** Lines of this process that tell what it goes by. */
const ownBeliefs: ReadonlySet<string> = new Set([
    "started",
    "leaving",
    "configurationInForce",
    "storeLost",
    "storeRegained",
]);
/** Lines about one upstream that tell what a process believes of it. */
const upstreamBeliefs: ReadonlySet<string> = new Set(["upstreamSeen", "upstreamGone"]);
/** Lines about upstreams that the planner writes, wherever it runs. */
const plannerEvents: ReadonlySet<string> = new Set(["engineSilent", "engineAnswers", "orderSent", "groupFormed"]);
/** Lines about the whole fleet. */
const fleetEvents: ReadonlySet<string> = new Set(["fleetSummary"]);
const beforeMs = 5_000;
const afterMs = 1_000;

/** Empty where no line names the request. `lines` may come from many files, in any order. */
export function storyOf(requestId: string, lines: readonly LogLine[]): readonly Chapter[] {
    const sorted = [...lines].sort((a, b) => a.atMs - b.atMs);
    return sorted
        .filter(({ fields }) => fields["requestId"] === requestId)
        .map(line => ({ line, believed: believedAt(line, sorted), around: aroundOf(line, sorted) }));
}

function believedAt(line: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
    const upstreams = upstreamsIn(line);
    const own = new Map<string, LogLine>();
    const fleet = new Map<string, LogLine>();
    for (const other of lines) {
        if (other.atMs > line.atMs) {
            break;
        }
        if (fleetEvents.has(other.event)) {
            fleet.set(other.event, other);
        }
        if (other.instance === line.instance) {
            noteOwn(own, other, upstreams);
        }
    }
    return [...own.values(), ...fleet.values()];
}

function noteOwn(own: Map<string, LogLine>, line: LogLine, upstreams: ReadonlySet<string>): void {
    if (line.event === "started") {
        // A process that starts anew knows nothing of what it believed before.
        own.clear();
    }
    const key = beliefKey(line, upstreams);
    if (key !== undefined) {
        own.set(key, line);
    }
}

/** Later lines with the same key replace earlier ones; undefined for what tells no belief. */
function beliefKey({ event, fields }: LogLine, upstreams: ReadonlySet<string>): string | undefined {
    if (ownBeliefs.has(event)) {
        return event.startsWith("store") ? `store ${String(fields["table"])}` : event;
    }
    const upstream = String(fields["upstream"]);
    return upstreamBeliefs.has(event) && upstreams.has(upstream) ? `upstream ${upstream}` : undefined;
}

function aroundOf(line: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
    const upstreams = upstreamsIn(line);
    return lines.filter(other =>
        plannerEvents.has(other.event)
        && other.atMs >= line.atMs - beforeMs
        && other.atMs <= line.atMs + afterMs
        && [...upstreamsIn(other)].some(upstream => upstreams.has(upstream))
    );
}

function upstreamsIn({ fields: { upstream, upstreams, members } }: LogLine): ReadonlySet<string> {
    const listed = [upstreams, members].flatMap(list => Array.isArray(list) ? list.map(String) : []);
    return new Set([...typeof upstream === "string" ? [upstream] : [], ...listed]);
}
