/** One entry instance's control loop in virtual time: the real control logic with a fake table, engines and clock. */
import {
    type Command,
    evaluateGroup,
    type Evidence,
    type GroupStatus,
    instanceIsRecalled,
    makeZoneControl,
    type Outcome,
    type Snapshot,
    versionIsRecalled,
    type ZoneControl,
    type ZoneControlOptions,
} from "@rattanquay/core";
import {
    GroupRow,
    type Instance,
    type KeyedRow,
    type RowKey,
    type TableOutcome,
    type Write,
    zoneHeadKey,
    zonePartition,
} from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type FakeEngine } from "./fakeEngine";
import { type FakeTable } from "./fakeTable";

/** Faults of calls to the table: an outage, added latency, and the probability that an answer is lost. */
export type TableFault = { readonly down: boolean; readonly slowMs: number; readonly loseAnswers: number };

export type ControllerEnvironment = {
    readonly timer: Timer;
    readonly table: FakeTable;
    readonly random: () => number;
    readonly engines: ReadonlyMap<string, FakeEngine>;
    readonly listed: () => readonly Instance[];
    readonly snapshot: () => Snapshot;
    readonly fault: () => TableFault;
    /** The current delivery delay of orders. */
    readonly orderDelayMs: () => number;
    /** The network delay of the next change of groups. */
    readonly changeDelayMs: () => number;
    /** Called for each change of groups that takes effect, with the writer's fencing number. */
    readonly onGroupsChanged: (writerFence: number | undefined) => void;
    /** Called after each update of the controller's `groupStatuses`. */
    readonly onJudged: (controller: FakeController) => void;
    readonly control: ZoneControlOptions;
    readonly entryCount: number;
};

const tickIntervalMs = 250;
const pollIntervalMs = 250;
const probeIntervalMs = 250;
const judgeIntervalMs = 50;
const tableTimeoutMs = 1_000;
const callLatencyMs = 5;

export class FakeController {
    groupStatuses: ReadonlyMap<string, GroupStatus> = new Map();
    groups: readonly GroupRow[] = [];
    readonly control: ZoneControl;
    private readonly evidence = new Map<string, Evidence>();
    private rows: ReadonlyMap<string, KeyedRow> = new Map();
    private headVersion: number | undefined;
    private evaluatedAtMs = -Infinity;
    private busy = false;
    private pausedUntilMs = 0;
    private stopped = false;
    private tokens = 0;

    constructor(
        readonly name: string,
        private readonly environment: ControllerEnvironment,
        /** The offset and the rate of this process's clock relative to the simulation's. */
        private readonly clock: { readonly offsetMs: number; readonly rate: number },
    ) {
        const { timer, control } = environment;
        this.control = makeZoneControl({ ...control, holder: name });
        const every = (periodMs: number, action: () => void): void => {
            const startMs = environment.random() * periodMs;
            timer.after(startMs, () => timer.every(periodMs, () => this.isRunning() && action()));
        };
        every(pollIntervalMs, () => this.poll());
        every(probeIntervalMs, () => this.probe());
        every(judgeIntervalMs, () => this.judge());
        every(tickIntervalMs, () => this.tick());
    }

    nowMs = (): number => this.environment.timer.nowMs() * this.clock.rate + this.clock.offsetMs;

    mayAct = (): boolean => this.isRunning() && this.control.mayAct(this.nowMs());

    /** Freezes the process. Work that falls due meanwhile runs afterwards. */
    pause(durationMs: number): void {
        this.pausedUntilMs = Math.max(this.pausedUntilMs, this.environment.timer.nowMs() + durationMs);
    }

    stop(): void {
        this.stopped = true;
    }

    private isRunning(): boolean {
        return !this.stopped && this.environment.timer.nowMs() >= this.pausedUntilMs;
    }

    /** Runs `action` after `delayMs`, or once the process is no longer paused; drops it if the process has stopped. */
    private runLater(delayMs: number, action: () => void): void {
        const { timer } = this.environment;
        timer.after(delayMs, () => {
            if (this.stopped) {
                return;
            }
            return this.isRunning() ? action() : this.runLater(this.pausedUntilMs - timer.nowMs(), action);
        });
    }

    private poll(): void {
        const { table, control: { availabilityZone } } = this.environment;
        this.call(0, () => {
            const head = table.read(zoneHeadKey(availabilityZone));
            const unchanged = (head?.version ?? -1) === this.headVersion;
            return { head, rows: unchanged ? [...this.rows.values()] : table.list(zonePartition(availabilityZone)) };
        }, read => {
            if (read.kind === "done" && (read.value.head?.version ?? -1) >= (this.headVersion ?? -1)) {
                this.headVersion = read.value.head?.version ?? -1;
                this.rows = new Map(read.value.rows.map(row => [row.key, row]));
                this.groups = read.value.rows.filter(row => row.key.startsWith("group/"))
                    .map(row => GroupRow.parse(row.body));
            }
        });
    }

    private probe(): void {
        const sentAtMs = this.nowMs();
        for (const engine of this.environment.engines.values()) {
            const info = engine.info();
            if (info !== undefined) {
                this.runLater(callLatencyMs, () => this.evidence.set(engine.instance, { info, sentAtMs }));
            }
        }
    }

    private judge(): void {
        const { control, onJudged } = this.environment;
        const snapshot = this.environment.snapshot();
        const limits = { nowMs: this.nowMs(), maxAgeMs: control.evidenceMaxAgeMs };
        const leaving = new Set(
            this.environment.listed().filter(({ state }) => state === "leaving").map(({ instance }) => instance),
        );
        this.groupStatuses = new Map(this.groups.map(group => {
            const recalledInstances = group.members.map(({ instance }) => instance)
                .filter(instance => instanceIsRecalled(snapshot, instance));
            const versionRecalled = versionIsRecalled(snapshot, group.model, group.version);
            const facts = { leaving, recalledInstances: new Set(recalledInstances), versionRecalled };
            return [group.group, evaluateGroup(group, this.evidence, facts, limits)];
        }));
        this.evaluatedAtMs = limits.nowMs;
        onJudged(this);
    }

    private tick(): void {
        if (this.busy) {
            return;
        }
        this.busy = true;
        const { headVersion } = this;
        const input = headVersion === undefined ? undefined : {
            snapshot: this.environment.snapshot(),
            instances: this.environment.listed(),
            groups: this.groups,
            groupStatuses: this.groupStatuses,
            evidence: this.evidence,
            rows: this.rows,
            headVersion,
            evaluatedAtMs: this.evaluatedAtMs,
            entryCount: this.environment.entryCount,
        };
        this.execute(this.control.tick(input, this.instant()), () => {
            this.busy = false;
        });
    }

    private instant() {
        const newToken = (): string => `${this.name}-${this.environment.timer.nowMs()}-${this.tokens++}`;
        return { nowMs: this.nowMs(), random: this.environment.random, newToken };
    }

    private execute(commands: readonly Command[], done: () => void): void {
        const [command, ...rest] = commands;
        if (command === undefined) {
            done();
            return;
        }
        (this.commandHandlers[command.kind] as (command: Command, next: (outcome?: Outcome) => void) => void)(
            command,
            outcome => {
                const followUps = outcome === undefined ? [] : this.control.answered(outcome, this.instant());
                this.execute([...followUps, ...rest], done);
            },
        );
    }

    private readonly commandHandlers: {
        readonly [K in Command["kind"]]: (
            command: Extract<Command, { readonly kind: K }>,
            next: (outcome?: Outcome) => void,
        ) => void;
    } = {
        readLease: ({ at }, next) => this.read(at, outcome => next({ kind: "leaseRead", outcome })),
        readHead: ({ at, token }, next) => this.read(at, outcome => next({ kind: "headRead", token, outcome })),
        writeLease: ({ writes, token }, next) =>
            this.write(writes, token, outcome => next({ kind: "leaseWritten", token, outcome })),
        changeGroups: ({ writes, token }, next) => {
            if (!this.control.mayAct(this.nowMs())) {
                next();
                return;
            }
            this.write(writes, token, outcome => {
                this.poll();
                next({ kind: "groupsChanged", token, outcome });
            }, this.control.fence());
        },
        order: ({ instance, order }, next) => {
            if (this.control.mayAct(this.nowMs())) {
                const engine = this.environment.engines.get(instance);
                this.environment.timer.after(this.environment.orderDelayMs(), () => engine?.applyOrder(order));
            }
            next();
        },
    };

    private read(at: RowKey, answer: (outcome: TableOutcome<KeyedRow | undefined>) => void): void {
        this.call(0, () => ({ head: this.environment.table.read(at), rows: [] }), outcome => {
            answer(outcome.kind === "done" ? { kind: "done", value: outcome.value.head } : outcome);
        });
    }

    private write(
        writes: readonly Write[],
        token: string,
        answer: (outcome: TableOutcome<void>) => void,
        fence?: number,
    ): void {
        const { table, onGroupsChanged } = this.environment;
        const delayMs = fence === undefined ? 0 : this.environment.changeDelayMs();
        this.call(delayMs, () => {
            const applied = table.transact(writes, token);
            if (applied && fence !== undefined) {
                onGroupsChanged(fence);
            }
            return { head: undefined, rows: [], applied };
        }, outcome => {
            const applied = outcome.kind === "done" && outcome.value.applied;
            answer(
                outcome.kind !== "done" ? outcome : applied ? { kind: "done", value: undefined } : { kind: "conflict" },
            );
        });
    }

    /**
     * Simulates a call to the table. A call that is too slow or loses its answer still takes effect, possibly after the
     * caller has given up on it; a call during an outage does not.
     */
    private call(
        delayMs: number,
        effect: () => { head: KeyedRow | undefined; rows: readonly KeyedRow[]; applied?: boolean },
        answer: (outcome: TableOutcome<ReturnType<typeof effect>>) => void,
    ): void {
        const { timer, random, fault } = this.environment;
        const { down, slowMs, loseAnswers } = fault();
        const durationMs = callLatencyMs + random() * slowMs + delayMs;
        const isLost = down || durationMs > tableTimeoutMs || random() < loseAnswers;
        if (down) {
            this.runLater(tableTimeoutMs, () => answer({ kind: "unavailable", reason: "down" }));
            return;
        }
        if (isLost) {
            timer.after(durationMs, effect);
            this.runLater(tableTimeoutMs, () => answer({ kind: "unavailable", reason: "no answer" }));
            return;
        }
        timer.after(durationMs, () => {
            const value = effect();
            this.runLater(callLatencyMs, () => answer({ kind: "done", value }));
        });
    }
}
