/**
 * Counts what is held for callers against the budget, and ends requests that stand still when it is spent.
 *
 * Times are those of the last `check`; between two checks nothing reads a clock, as bytes are counted for each chunk.
 */
import { type CallerLimits } from "./callerLimits";
import { chooseEviction, type EvictionCandidate } from "./eviction";

/** Why a request is ended. */
export type EndReason = "spent" | "stalled" | "unread";

export type LedgerEvents = {
    /** Called once for each request that the ledger ends; `bytes` is what it held. */
    readonly onEnd: (reason: EndReason, bytes: number) => void;
};

/** What one request holds. */
export class Holding {
    phase: EvictionCandidate["phase"] = "arriving";
    /** Bytes that its caller has sent or taken so far. Whoever reads or writes them adds to it. */
    moved = 0;
    /** Whether the process itself has stopped reading from the caller. */
    isPaused = false;
    bodyBytes = 0;
    answerBytes = 0;
    progressAtMs: number;
    private movedAtCheck = 0;

    constructor(readonly end: (reason: EndReason) => void, nowMs: number) {
        this.progressAtMs = nowMs;
    }

    noteProgress(nowMs: number): void {
        if (this.moved !== this.movedAtCheck || this.isPaused) {
            this.movedAtCheck = this.moved;
            this.progressAtMs = nowMs;
        }
    }

    bytes(): number {
        return this.bodyBytes + this.answerBytes;
    }
}

export class ByteLedger {
    private readonly holdings = new Set<Holding>();
    private connections = 0;
    private heldBytes = 0;
    private bodies = 0;
    private nowMs = 0;

    constructor(private readonly limits: CallerLimits, private readonly events: LedgerEvents) {}

    /** All that counts against the budget. */
    totalBytes(): number {
        return this.heldBytes + this.connections * this.limits.connectionBytes;
    }

    /** Bodies that are arriving. */
    arrivingBodies(): number {
        return this.bodies;
    }

    openConnections(): number {
        return this.connections;
    }

    addConnection(): void {
        this.connections++;
    }

    removeConnection(): void {
        this.connections--;
    }

    /** Begins to count a request. `end` is called if the ledger ends it; the request is then still to be closed. */
    open(end: (reason: EndReason) => void, nowMs: number): Holding {
        const holding = new Holding(end, nowMs);
        this.holdings.add(holding);
        return holding;
    }

    /** Frees all that the request held. Further calls have no effect. */
    close(holding: Holding): void {
        if (this.holdings.delete(holding)) {
            this.heldBytes -= holding.bytes();
            holding.bodyBytes = 0;
            holding.answerBytes = 0;
        }
    }

    /** Whether another body may begin to arrive. Ends one that stands still, if there are too many. */
    beginBody(): boolean {
        if (this.bodies >= this.limits.maxBodies) {
            this.evict("arriving");
        }
        if (this.bodies >= this.limits.maxBodies) {
            return false;
        }
        this.bodies++;
        return true;
    }

    /** To be called once for each body that was allowed to begin. */
    endBody(): void {
        this.bodies--;
    }

    /** Whether a body may hold `bytes` more. Ends requests that stand still, if that makes room. */
    mayGrow(holding: Holding, bytes: number): boolean {
        const { budgetBytes, reservedBytes, smallBytes } = this.limits;
        const isSmall = holding.bodyBytes + bytes <= smallBytes;
        holding.noteProgress(this.nowMs);
        const ceiling = isSmall ? budgetBytes : budgetBytes - reservedBytes;
        while (this.totalBytes() + bytes > ceiling) {
            if (!this.evict()) {
                return false;
            }
        }
        if (!this.holdings.has(holding)) {
            return false;
        }
        holding.bodyBytes += bytes;
        this.heldBytes += bytes;
        return true;
    }

    /** Sets how much of the answer waits for the caller. */
    noteAnswer(holding: Holding, bytes: number): void {
        if (this.holdings.has(holding)) {
            this.heldBytes += bytes - holding.answerBytes;
            holding.answerBytes = bytes;
        }
    }

    /** Ends the requests that have stood still for too long, and those that stand still while the budget is exceeded. */
    check(nowMs: number): void {
        this.nowMs = nowMs;
        for (const holding of [...this.holdings]) {
            holding.noteProgress(nowMs);
            const stalledMs = nowMs - holding.progressAtMs;
            if (holding.phase === "arriving") {
                this.endIf(stalledMs >= this.limits.bodyStallMs, holding, "stalled");
            }
            else if (holding.answerBytes > 0) {
                this.endIf(stalledMs >= this.limits.unreadMs, holding, "unread");
            }
            else {
                holding.progressAtMs = nowMs;
            }
        }
        while (this.totalBytes() > this.limits.budgetBytes && this.evict()) {
            // Each step ends one request.
        }
    }

    /** Ends the request that holds most for longest without progress. False if none stands still. */
    evict(phase?: EvictionCandidate["phase"]): boolean {
        const { nowMs } = this;
        const candidates = [...this.holdings].filter(holding => phase === undefined || holding.phase === phase).map(
            holding => ({
                phase: holding.phase,
                bytes: holding.bytes(),
                stalledMs: nowMs - holding.progressAtMs,
                holding,
            }),
        );
        const chosen = chooseEviction(candidates);
        this.endIf(chosen !== undefined, chosen?.holding, "spent");
        return chosen !== undefined;
    }

    private endIf(isDue: boolean, holding: Holding | undefined, reason: EndReason): void {
        if (isDue && holding !== undefined) {
            const bytes = holding.bytes();
            this.close(holding);
            this.events.onEnd(reason, bytes);
            holding.end(reason);
        }
    }
}
