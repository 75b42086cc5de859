/**
 * What the process holds for its callers. One instance serves a listener: it counts connections, bodies and unread answers in
 * one ledger, and ends requests as the ledger decides.
 */
import { ByteLedger, type CallerLimits, type EndReason, type Holding } from "@rattanquay/core";
import { type Timer } from "@rattanquay/timer";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type BodyLimits, type CallerBody, readCallerBody } from "./callerBody";
import { makeSegmentCollector, makeSegmentPool, type RequestBody } from "./segments";
import { makeTurns } from "./turns";

/** `connections`: one was closed to make room for another. `pipelined`: it had too many unanswered requests. */
export type CallerEndReason = EndReason | "refused" | "connections" | "pipelined";

/** How many requests and connections were ended, by reason, and what is held now. */
export type CallerEnds = Partial<Record<CallerEndReason, number>> & {
    readonly endedBytes: number;
    readonly heldBytes: number;
    readonly openConnections: number;
};

export type CallerMemoryEvents = {
    /** A request or a connection was ended, or a body was not taken in (`refused`). */
    readonly onEnd: (reason: CallerEndReason) => void;
    /** What was ended since the last report; at most once a second, and not if nothing was. */
    readonly onReport: (ends: CallerEnds) => void;
    /** After each check. */
    readonly onCheck: () => void;
};

export type CallerMemory = {
    readonly limits: CallerLimits;
    readonly ledger: Pick<ByteLedger, "totalBytes" | "arrivingBodies" | "openConnections" | "evict">;
    /** Counts a connection that its listener has closed. */
    readonly noteEnd: (reason: CallerEndReason) => void;
    readonly addConnection: (socket: Socket) => void;
    /** Begins to count a request, until its response closes. */
    readonly hold: (request: IncomingMessage, response: ServerResponse) => HeldRequest;
    readonly stop: () => void;
};

export type TextBody =
    | Exclude<CallerBody, { readonly kind: "read" }>
    | { readonly kind: "read"; readonly text: string };

export type WholeBody =
    | Exclude<CallerBody, { readonly kind: "read" }>
    | { readonly kind: "read"; readonly bytes: Buffer };

export type HeldRequest = {
    /** To be called once. */
    readonly readBody: (limits: BodyLimits) => Promise<CallerBody>;
    /** Reads the body into one block instead. */
    readonly readWhole: (limits: BodyLimits) => Promise<WholeBody>;
    /** Reads the body as UTF-8 instead. */
    readonly readText: (limits: BodyLimits) => Promise<TextBody>;
    /** Counts bytes of an answer that has not been passed on. */
    readonly noteBuffered: (bytes: number) => void;
};

/** How often stalls are looked for. */
const checkEveryMs = 250;
const reportEveryMs = 1_000;

type Held = {
    readonly holding: Holding;
    readonly response: ServerResponse;
    /** Bytes of the answer that are collected before any is passed on. */
    bufferedBytes: number;
    flushedAtCheck: number;
};

export function makeCallerMemory(limits: CallerLimits, timer: Timer, events: CallerMemoryEvents): CallerMemory {
    const ends = makeEndCounter(events);
    const ledger = new ByteLedger(limits, { onEnd: ends.count });
    const pool = makeSegmentPool(limits.budgetBytes);
    const turns = makeTurns(timer);
    const requests = new Set<Held>();
    const decode = makeDecoder();
    const cancel = timer.every(checkEveryMs, () => {
        requests.forEach(held => noteAnswer(held, ledger));
        ledger.check(timer.nowMs());
        events.onCheck();
    });
    const cancelReports = timer.every(reportEveryMs, () => ends.report(ledger));

    const hold = (request: IncomingMessage, response: ServerResponse): HeldRequest => {
        let wasEnded = false;
        let endBody: ((body: Exclude<CallerBody, { kind: "read" }>) => void) | undefined;
        const end = (reason: EndReason): void => {
            wasEnded = true;
            if (endBody !== undefined) {
                endBody({ kind: reason === "stalled" ? "late" : "busy" });
                return;
            }
            (response.socket ?? request.socket).resetAndDestroy();
        };
        const holding = ledger.open(end, timer.nowMs());
        holding.phase = "atUpstream";
        const held: Held = { holding, response, bufferedBytes: 0, flushedAtCheck: 0 };
        requests.add(held);
        response.once("close", () => {
            requests.delete(held);
            ledger.close(holding);
        });
        const collector = makeSegmentCollector(pool, bytes => ledger.mayGrow(holding, bytes));
        const readBody = async (bodyLimits: BodyLimits): Promise<CallerBody> => {
            if (!ledger.beginBody()) {
                ends.count("refused", 0);
                return { kind: "busy" };
            }
            holding.phase = "arriving";
            const body = await readCallerBody(request, bodyLimits, {
                holding,
                collector,
                turns,
                timer,
                onEndable: endReading => endBody = endReading,
            });
            endBody = undefined;
            ledger.endBody();
            if (body.kind === "busy" && !wasEnded) {
                ends.count("refused", holding.bytes());
            }
            if (body.kind !== "read") {
                ledger.close(holding);
            }
            holding.phase = "atUpstream";
            return body;
        };
        return {
            readBody,
            readWhole: async bodyLimits => {
                const body = await readBody(bodyLimits);
                if (body.kind !== "read") {
                    return body;
                }
                const { parts } = body.body;
                if (parts.length === 1) {
                    return { kind: "read", bytes: parts[0]! };
                }
                const bytes = Buffer.concat(parts);
                collector.discard();
                return { kind: "read", bytes };
            },
            readText: async bodyLimits => {
                const body = await readBody(bodyLimits);
                if (body.kind !== "read") {
                    return body;
                }
                const text = decode(body.body);
                collector.discard();
                return { kind: "read", text };
            },
            noteBuffered: bytes => {
                held.bufferedBytes += bytes;
            },
        };
    };
    return {
        limits,
        ledger,
        noteEnd: reason => ends.count(reason, 0),
        addConnection: socket => {
            ledger.addConnection();
            socket.once("close", () => ledger.removeConnection());
        },
        hold,
        stop: () => {
            cancel();
            cancelReports();
            turns.stop();
        },
    };
}

/** Decodes bodies by way of one block, so that large ones leave only their text to the garbage collector. */
function makeDecoder(): (body: RequestBody) => string {
    let block = Buffer.alloc(0);
    return ({ length, parts }) => {
        if (parts.length === 1) {
            return parts[0]!.toString("utf8");
        }
        if (block.length < length) {
            block = Buffer.allocUnsafeSlow(length);
        }
        let at = 0;
        for (const part of parts) {
            at += part.copy(block, at);
        }
        return block.toString("utf8", 0, length);
    };
}

function makeEndCounter({ onEnd, onReport }: CallerMemoryEvents) {
    let counts: Partial<Record<CallerEndReason, number>> = {};
    let endedBytes = 0;
    return {
        count: (reason: CallerEndReason, bytes: number): void => {
            counts[reason] = (counts[reason] ?? 0) + 1;
            endedBytes += bytes;
            onEnd(reason);
        },
        report: (ledger: ByteLedger): void => {
            if (Object.keys(counts).length > 0) {
                const held = { heldBytes: ledger.totalBytes(), openConnections: ledger.openConnections() };
                onReport({ ...counts, endedBytes, ...held });
                counts = {};
                endedBytes = 0;
            }
        },
    };
}

/** Counts what waits for the caller, and whether the caller has taken any since the last check. */
function noteAnswer(held: Held, ledger: ByteLedger): void {
    const { holding, response } = held;
    if (holding.phase === "arriving") {
        return;
    }
    const waiting = response.writableLength;
    const flushed = (response.socket?.bytesWritten ?? 0) - (response.socket?.writableLength ?? 0);
    // A response without a socket waits behind another one on its connection.
    if (flushed !== held.flushedAtCheck || waiting === 0 || response.socket === null) {
        held.flushedAtCheck = flushed;
        holding.moved++;
    }
    if (response.headersSent) {
        held.bufferedBytes = 0;
    }
    if (response.writableEnded) {
        holding.phase = "answered";
    }
    ledger.noteAnswer(holding, waiting + held.bufferedBytes);
}
