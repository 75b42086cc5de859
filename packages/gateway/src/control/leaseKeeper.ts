/** Holds, or waits for, the lease on planning. Its writes and the planner's go through one queue, each under the lease. */
import {
    type LeaseOptions,
    mayPlan,
    nextPlanningStep,
    noLease,
    noteDoubt,
    noteReading,
    type PlanningLeaseState,
    type PlanningLeaseStep,
} from "@rattanquay/core";
import { parseAs, PlanningLease } from "@rattanquay/schema";
import { type RowTransaction, type StoreOutcome } from "../ports";
import { type Surroundings } from "../surroundings";
import { leaseKey, leaseTable } from "./tables";

export type LeaseKeeper = {
    /** Does what is due about the lease. */
    readonly step: () => Promise<void>;
    readonly mayPlan: () => boolean;
    readonly fence: () => number;
    /** How far the store's clock was ahead of the own one when it was read last. */
    readonly storeClockAheadMs: () => number;
    /** Writes under the lease: it takes effect only while this process holds it. */
    readonly writeUnder: (transaction: RowTransaction) => Promise<StoreOutcome<void>>;
    /** Gives the lease back, so that another need not wait. */
    readonly release: () => Promise<void>;
};

const termMs = 1_500;
/** Reads of all candidates together, so that a lapsed lease is noticed soon whatever their number. */
const readsPerSecond = 4;
const doubtPauseMs = 150;

export function makeLeaseKeeper(surroundings: Surroundings, instances: () => number): LeaseKeeper {
    const { ports: { store }, settings, timer, log, metrics, random } = surroundings;
    // A process that starts anew under its name remembers nothing of its orders: it is another holder.
    const holder = `${settings.instance}/${Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36)}`;
    let state: PlanningLeaseState = noLease;
    const options = (): LeaseOptions => ({
        holder,
        termMs,
        readEveryMs: Math.max(termMs / 4, instances() / readsPerSecond * 1_000) * (0.5 + random()),
    });
    const isHeld = (): boolean => mayPlan(state, { termMs }, timer.nowMs());

    const set = (next: PlanningLeaseState): void => {
        const before = state.held;
        state = next;
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
            set(noteDoubt(state, timer.nowMs(), doubtPauseMs * (1 + random())));
            return;
        }
        const row = outcome.value.find(({ key }) => key === leaseKey);
        const { sentAtMs, storeNowMs } = outcome.stamp;
        const reading = {
            row: row === undefined ? undefined : parseAs(PlanningLease, row.text),
            revision: row?.revision ?? 0,
            storeNowMs,
            sentAtMs,
        };
        set(noteReading(state, reading, options()));
    };
    const write = async ({ row, expectedRevision }: Extract<PlanningLeaseStep, { kind: "write" }>): Promise<void> => {
        const at = { table: leaseTable, key: leaseKey };
        const outcome = await store.write({
            expected: [{ ...at, revision: expectedRevision }],
            put: [{ ...at, text: JSON.stringify(row) }],
            remove: [],
        });
        if (outcome.kind === "done") {
            const { sentAtMs, storeNowMs, storeRevision: revision } = outcome.stamp;
            set(noteReading(state, { row, revision, storeNowMs, sentAtMs }, options()));
            return;
        }
        set(noteDoubt(state, timer.nowMs(), outcome.kind === "conflict" ? 0 : doubtPauseMs));
    };
    const handlers = {
        wait: async () => undefined,
        read,
        write,
    } satisfies { [K in PlanningLeaseStep["kind"]]: (step: Extract<PlanningLeaseStep, { kind: K }>) => Promise<void> };

    return {
        step: async () => {
            if (state.held !== undefined && timer.nowMs() >= state.held.untilMs) {
                set({ ...state, held: undefined });
            }
            const step = nextPlanningStep(state, options(), timer.nowMs());
            await (handlers[step.kind] as (step: PlanningLeaseStep) => Promise<void>)(step);
        },
        mayPlan: isHeld,
        fence: () => state.held?.fence ?? 0,
        storeClockAheadMs: () => state.reading === undefined ? 0 : state.reading.storeNowMs - state.reading.sentAtMs,
        writeUnder: async transaction => {
            const { held } = state;
            if (held === undefined || !isHeld()) {
                return { kind: "refused", reason: "the lease is not held" };
            }
            const expected = [{ table: leaseTable, key: leaseKey, revision: held.revision }, ...transaction.expected];
            return store.write({ ...transaction, expected });
        },
        release: async () => {
            const { held } = state;
            if (held === undefined || !isHeld()) {
                return;
            }
            const row: PlanningLease = { holder: "", fence: held.fence, untilStoreMs: 0 };
            set({ ...state, held: undefined });
            const at = { table: leaseTable, key: leaseKey };
            await store.write({
                expected: [{ ...at, revision: held.revision }],
                put: [{ ...at, text: JSON.stringify(row) }],
                remove: [],
            });
        },
    };
}
