/**
 * The timeline of a request: each log line with its id, ordered by time, with the state known to the process at that
 * time and the planner's events for the upstreams in the line.
 */
import { type LogLine } from "./logLine";

/** A log line of the request with its context. */
export type TimelineEntry = {
    readonly line: LogLine;
    /**
     * The latest line of each kind of state up to this line, from the same process or about the whole fleet; for a request
     * that was held back, also the crashes that its quarantine rests on, from any process.
     */
    readonly believed: readonly LogLine[];
    /** Planner lines of any process about the upstreams in the line, within a window around it. */
    readonly around: readonly LogLine[];
};

/** Events that report the state a process works with. */
const processStateEvents: ReadonlySet<string> = new Set([
    "started",
    "leaving",
    "configurationInForce",
    "storeLost",
    "storeRegained",
]);
/** Events that report what a process knows of a zone's evacuation. */
const evacuationEvents: ReadonlySet<string> = new Set([
    "evacuationStarted",
    "evacuationEnded",
    "evacuationZoneUnknown",
]);
/** Events that report what a process knows of an upstream. */
const upstreamStateEvents: ReadonlySet<string> = new Set(["upstreamSeen", "upstreamGone"]);
/** Events that report what a process knows of a quarantine. */
const quarantineEvents: ReadonlySet<string> = new Set(["quarantineImposed", "quarantineLifted"]);
/** Events that a quarantine rests on; any process may have seen them. */
const crashEvents: ReadonlySet<string> = new Set(["crashSuspected", "crashRevoked"]);
/** Events of the planner about upstreams; it may run in any process. */
const plannerEvents: ReadonlySet<string> = new Set(["engineSilent", "engineAnswers", "orderSent", "groupFormed"]);
/** Events about the whole fleet. */
const fleetEvents: ReadonlySet<string> = new Set(["fleetSummary"]);
const windowBeforeMs = 5_000;
const windowAfterMs = 1_000;

/** Returns an empty list if no line has the request's id. `lines` may come from several files, in any order. */
export function requestTimeline(requestId: string, lines: readonly LogLine[]): readonly TimelineEntry[] {
    const sorted = [...lines].sort((a, b) => a.atMs - b.atMs);
    return sorted
        .filter(({ fields }) => fields["requestId"] === requestId)
        .map(line => ({ line, believed: stateKnownAt(line, sorted), around: plannerLinesAround(line, sorted) }));
}

function stateKnownAt(line: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
    const upstreams = upstreamsNamedBy(line);
    const latest = new Map<string, LogLine>();
    for (const other of lines) {
        if (other.atMs > line.atMs) {
            break;
        }
        const key = stateKey(other, line, upstreams);
        if (key !== undefined) {
            latest.set(key, other);
        }
    }
    return [...latest.values()];
}

/** Key under which a later line replaces an earlier one; undefined if the line reports no state relevant to `line`. */
function stateKey(
    { event, instance, fields }: LogLine,
    line: LogLine,
    upstreams: ReadonlySet<string>,
): string | undefined {
    if (fleetEvents.has(event)) {
        return event;
    }
    if (crashEvents.has(event) && isEvidence(fields, line.fields)) {
        return `crash ${String(fields["crash"])}`;
    }
    if (instance !== line.instance) {
        return undefined;
    }
    if (processStateEvents.has(event)) {
        return event.startsWith("store") ? `store ${String(fields["table"])}` : event;
    }
    if (evacuationEvents.has(event)) {
        return `evacuation ${String(fields["zone"])}`;
    }
    if (event === "regionUnknown") {
        return `region ${String(fields["region"])}`;
    }
    if (quarantineEvents.has(event) && fields["quarantine"] === line.fields["quarantine"]) {
        return `quarantine ${String(fields["quarantine"])}`;
    }
    const upstream = String(fields["upstream"]);
    return upstreamStateEvents.has(event) && upstreams.has(upstream) ? `upstream ${upstream}` : undefined;
}

/** Whether a crash is one that a quarantine rests on; reports of its other requests are left out. */
function isEvidence(crash: LogLine["fields"], quarantine: LogLine["fields"]): boolean {
    const segments = crash["segments"] ?? quarantine["segments"];
    return isListed(quarantine["crashes"], crash["crash"])
        && (!Array.isArray(quarantine["segments"])
            || quarantine["segments"].every(segment => isListed(segments, segment)));
}

function isListed(list: unknown, value: unknown): boolean {
    return Array.isArray(list) && list.includes(value);
}

function plannerLinesAround(line: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
    const upstreams = upstreamsNamedBy(line);
    return lines.filter(other =>
        plannerEvents.has(other.event)
        && other.atMs >= line.atMs - windowBeforeMs
        && other.atMs <= line.atMs + windowAfterMs
        && [...upstreamsNamedBy(other)].some(upstream => upstreams.has(upstream))
    );
}

function upstreamsNamedBy({ fields: { upstream, upstreams, members } }: LogLine): ReadonlySet<string> {
    const listed = [upstreams, members].flatMap(list => Array.isArray(list) ? list.map(String) : []);
    return new Set([...typeof upstream === "string" ? [upstream] : [], ...listed]);
}
