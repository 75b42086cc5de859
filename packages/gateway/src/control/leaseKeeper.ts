/** Acquires and renews the planning lease. Writes of the planner take effect only while the lease is held. */
import {
    type HeldTerm,
    initialPlanningLease,
    type LeaseOptions,
    makeTermStart,
    mayPlan,
    nextPlanningStep,
    noteSnapshot,
    noteUncertainOutcome,
    type PlanningLeaseState,
    type PlanningLeaseStep,
    type ReportedHolder,
} from "@rattanquay/core";
import { eraOf, type PlanningLease } from "@rattanquay/schema";
import { type GatewayContext } from "../gatewayContext";
import { type PlanningCandidacy } from "../peers";
import { type RowTransaction, type StoreOutcome, type StoreStamp } from "../ports";
import { makeLeaseDecoder } from "./leaseRow";
import { makeStoreClock, type StoreClock } from "./storeClock";
import { leaseKey, leaseTable } from "./tables";

export type LeaseKeeper = {
    /** Reads or writes the lease row if that is due. */
    readonly step: () => Promise<void>;
    readonly mayPlan: () => boolean;
    readonly fence: () => number;
    /** The era of the store when its lease row was last read; 0 if it never was. */
    readonly era: () => number;
    /** The process that held the lease when its row was last read. */
    readonly holderInstance: () => string | undefined;
    /** The term of this process, for grants of requests to cold upstreams. */
    readonly heldTerm: () => HeldTerm;
    /** The holder when the lease row was last read, which can be long ago; undefined if nobody held it. */
    readonly lastReadHolder: () => ReportedHolder | undefined;
    /** The store's clock by the last answer about the lease. */
    readonly storeClock: Pick<StoreClock, "toStoreMs" | "toLocalMs">;
    /**
     * Writes on condition that the lease row is unchanged, so that it takes effect only while this process holds it.
     */
    readonly writeUnder: (transaction: RowTransaction) => Promise<StoreOutcome<void>>;
    /** Releases the lease, so that another process need not wait for it to expire. */
    readonly release: () => Promise<void>;
};

const termMs = 1_500;
/**
 * Lease reads a second by all preferred candidates together, and by all others, so that an expired lease is noticed soon
 * whatever their number.
 */
const preferredReadsPerSecond = 3;
const otherReadsPerSecond = 0.5;
/** Time that candidates that are not preferred leave to the preferred ones; shorter than a term. */
const otherTakeDelayMs = 1_000;
/**
 * Time that a candidate with one core leaves to larger ones at the first election, in inverse proportion to its cores,
 * and its maximum.
 */
const oneCoreTakeDelayMs = 120;
const maxCoreTakeDelayMs = 400;
const msPerSecond = 1_000;
/** Pause before the lease row is read again after a call with an unclear outcome. */
const unclearOutcomePauseMs = 150;

export function makeLeaseKeeper(context: GatewayContext, candidacy: () => PlanningCandidacy): LeaseKeeper {
    const { ports: { store }, settings, timer, log, metrics, random } = context;
    // A restarted process has lost its state about orders, so it must count as a new holder despite its unchanged name.
    const holder = `${settings.instance}/${Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36)}`;
    const decodeRow = makeLeaseDecoder(context, termMs);
    let state: PlanningLeaseState = initialPlanningLease;
    const termStart = makeTermStart();
    const storeClock = makeStoreClock(timer.nowMs);
    // Without a row nobody has planned yet, and the processes may not know each other.
    const options = (): LeaseOptions => ({
        holder,
        termMs,
        ...turnsOf(candidacy(), { isFirstElection: state.reading?.row === undefined, cores: settings.cores, random }),
    });
    const isHeld = (): boolean => mayPlan(state, { termMs }, timer.nowMs());

    const setState = (next: PlanningLeaseState): void => {
        const before = state.held;
        state = next;
        termStart.note(next.held?.fence, timer.nowMs());
        if (before?.fence === next.held?.fence) {
            return;
        }
        metrics.leaseHeld.set(next.held === undefined ? 0 : 1);
        if (next.held === undefined) {
            log.info("leaseLost", { fence: before?.fence });
            return;
        }
        log.info("leaseTaken", { fence: next.held.fence, holder });
    };
    const read = async (): Promise<void> => {
        const outcome = await store.read(leaseTable);
        if (outcome.kind !== "done") {
            setState(noteUncertainOutcome(state, timer.nowMs(), unclearOutcomePauseMs * (1 + random())));
            return;
        }
        const row = outcome.value.find(({ key }) => key === leaseKey);
        storeClock.note(outcome.stamp);
        const reading = {
            row: row === undefined ? undefined : decodeRow(row, outcome.stamp.storeNowMs),
            revision: row?.revision ?? 0,
            ...readingTimes(outcome.stamp, timer.nowMs()),
        };
        setState(noteSnapshot(state, reading, options()));
    };
    const write = async ({ row, expectedRevision }: Extract<PlanningLeaseStep, { kind: "write" }>): Promise<void> => {
        const at = { table: leaseTable, key: leaseKey };
        const outcome = await store.write({
            expected: [{ ...at, revision: expectedRevision }],
            put: [{ ...at, text: JSON.stringify(row) }],
            remove: [],
        });
        if (outcome.kind === "done") {
            storeClock.note(outcome.stamp);
            const { storeRevision: revision } = outcome.stamp;
            const reading = { row, revision, ...readingTimes(outcome.stamp, timer.nowMs()) };
            setState(noteSnapshot(state, reading, options()));
            return;
        }
        setState(noteUncertainOutcome(state, timer.nowMs(), outcome.kind === "conflict" ? 0 : unclearOutcomePauseMs));
    };
    const handlers = {
        wait: async () => undefined,
        read,
        write,
    } satisfies { [K in PlanningLeaseStep["kind"]]: (step: Extract<PlanningLeaseStep, { kind: K }>) => Promise<void> };

    return {
        step: async () => {
            if (state.held !== undefined && timer.nowMs() >= state.held.untilMs) {
                setState({ ...state, held: undefined });
            }
            const step = nextPlanningStep(state, options(), timer.nowMs());
            await (handlers[step.kind] as (step: PlanningLeaseStep) => Promise<void>)(step);
        },
        mayPlan: isHeld,
        fence: () => state.held?.fence ?? 0,
        era: () => state.knownEra?.era ?? 0,
        holderInstance: () => instanceOf(state.reading?.row),
        heldTerm: () => ({ isHeld: isHeld(), sinceMs: termStart.sinceMs() }),
        lastReadHolder: () => lastReadHolder(state, timer.nowMs()),
        storeClock,
        writeUnder: async transaction => {
            const { held } = state;
            if (held === undefined || !isHeld()) {
                return { kind: "refused", reason: "the lease is not held" };
            }
            const expected = [{ table: leaseTable, key: leaseKey, revision: held.revision }, ...transaction.expected];
            const outcome = await store.write({ ...transaction, expected });
            return outcome.kind === "done" && eraOf(outcome.stamp.storeRevision) !== eraOf(held.revision)
                ? { kind: "unanswered", reason: "the store was restored meanwhile" }
                : outcome;
        },
        release: async () => {
            const { held } = state;
            if (held === undefined || !isHeld()) {
                return;
            }
            const row: PlanningLease = { holder: "", fence: held.fence, untilStoreMs: 0, era: eraOf(held.revision) };
            setState({ ...state, held: undefined });
            const at = { table: leaseTable, key: leaseKey };
            await store.write({
                expected: [{ ...at, revision: held.revision }],
                put: [{ ...at, text: JSON.stringify(row) }],
                remove: [],
            });
        },
    };
}

type Election = {
    readonly isFirstElection: boolean;
    readonly cores: number;
    readonly random: () => number;
};

function readingTimes({ sentAtMs, storeNowMs, storeRevision }: StoreStamp, receivedAtMs: number) {
    return { sentAtMs, storeNowMs, era: eraOf(storeRevision), receivedAtMs };
}

/** When a candidate reads the row, and how long it leaves an expired lease to others. */
function turnsOf(
    { isPreferred, preferredCount, otherCount }: PlanningCandidacy,
    { isFirstElection, cores, random }: Election,
): Pick<LeaseOptions, "readEveryMs" | "takeDelayMs"> {
    const sharedReadMs = isPreferred
        ? preferredCount / preferredReadsPerSecond * msPerSecond
        : otherCount / otherReadsPerSecond * msPerSecond;
    return {
        readEveryMs: Math.max(termMs / 4, sharedReadMs) * (0.5 + random()),
        takeDelayMs: (isPreferred ? 0 : otherTakeDelayMs)
            + (isFirstElection ? Math.min(maxCoreTakeDelayMs, oneCoreTakeDelayMs / cores) : 0),
    };
}

/** A holder's name in the row is its instance and a random part; it is empty in a row that was released. */
function instanceOf(row: PlanningLease | undefined): string | undefined {
    return row?.holder.split("/")[0];
}

function lastReadHolder({ reading }: PlanningLeaseState, nowMs: number): ReportedHolder | undefined {
    const instance = instanceOf(reading?.row);
    return reading?.row === undefined || instance === undefined || instance === ""
        ? undefined
        : { instance, fence: reading.row.fence, ageMs: nowMs - reading.sentAtMs };
}
