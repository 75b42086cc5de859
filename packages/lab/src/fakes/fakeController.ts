/** One entry instance's control in virtual time: real decisions, against a table, engines and a clock that are fakes. */
import {
    type Command,
    type Evidence,
    instanceIsRecalled,
    judgeGroup,
    makeZoneControl,
    type Outcome,
    type Snapshot,
    type Standing,
    versionIsRecalled,
    type ZoneControl,
    type ZoneControlOptions,
} from "@rattanquay/core";
import {
    GroupRow,
    type Instance,
    type Key,
    type Stored,
    type TableOutcome,
    type Write,
    zoneHeadKey,
    zonePartition,
} from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type FakeEngine } from "./fakeEngine";
import { type FakeTable } from "./fakeTable";

/** What is wrong with the way to the table now. */
export type TableFault = { readonly down: boolean; readonly slowMs: number; readonly loseAnswers: number };

export type Surroundings = {
    readonly timer: Timer;
    readonly table: FakeTable;
    readonly random: () => number;
    readonly engines: ReadonlyMap<string, FakeEngine>;
    readonly listed: () => readonly Instance[];
    readonly snapshot: () => Snapshot;
    readonly fault: () => TableFault;
    /** How late orders arrive now. */
    readonly orderDelayMs: () => number;
    /** How long the network holds the next change of groups back. */
    readonly changeDelayMs: () => number;
    /** Told of each change of groups that takes effect, with the writer's fencing number. */
    readonly onChange: (writerFence: number | undefined) => void;
    readonly onJudged: (controller: FakeController) => void;
    readonly control: ZoneControlOptions;
    readonly entryCount: number;
};

const tickMs = 250;
const pollMs = 250;
const probeMs = 250;
const judgeMs = 50;
const tableTimeoutMs = 1_000;
const callMs = 5;

export class FakeController {
    standings: ReadonlyMap<string, Standing> = new Map();
    groups: readonly GroupRow[] = [];
    readonly control: ZoneControl;
    private readonly evidence = new Map<string, Evidence>();
    private rows: ReadonlyMap<string, Stored> = new Map();
    private headVersion: number | undefined;
    private judgedAtMs = -Infinity;
    private busy = false;
    private pausedUntilMs = 0;
    private stopped = false;
    private tokens = 0;

    constructor(
        readonly name: string,
        private readonly surroundings: Surroundings,
        /** What this process's clock shows more than the others', and how fast it goes. */
        private readonly clock: { readonly offsetMs: number; readonly rate: number },
    ) {
        const { timer, control } = surroundings;
        this.control = makeZoneControl({ ...control, holder: name });
        const every = (periodMs: number, action: () => void): void => {
            const startMs = surroundings.random() * periodMs;
            timer.after(startMs, () => timer.every(periodMs, () => this.isRunning() && action()));
        };
        every(pollMs, () => this.poll());
        every(probeMs, () => this.probe());
        every(judgeMs, () => this.judge());
        every(tickMs, () => this.tick());
    }

    nowMs = (): number => this.surroundings.timer.nowMs() * this.clock.rate + this.clock.offsetMs;

    mayAct = (): boolean => this.isRunning() && this.control.mayAct(this.nowMs());

    /** Freezes the process; what it was about to do it does afterwards. */
    pause(durationMs: number): void {
        this.pausedUntilMs = Math.max(this.pausedUntilMs, this.surroundings.timer.nowMs() + durationMs);
    }

    stop(): void {
        this.stopped = true;
    }

    private isRunning(): boolean {
        return !this.stopped && this.surroundings.timer.nowMs() >= this.pausedUntilMs;
    }

    /** Runs `action` when the process runs again after `delayMs`. */
    private later(delayMs: number, action: () => void): void {
        const { timer } = this.surroundings;
        timer.after(delayMs, () => {
            if (this.stopped) {
                return;
            }
            return this.isRunning() ? action() : this.later(this.pausedUntilMs - timer.nowMs(), action);
        });
    }

    private poll(): void {
        const { table, control: { availabilityZone } } = this.surroundings;
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
        for (const engine of this.surroundings.engines.values()) {
            const info = engine.info();
            if (info !== undefined) {
                this.later(callMs, () => this.evidence.set(engine.instance, { info, sentAtMs }));
            }
        }
    }

    private judge(): void {
        const { control, onJudged } = this.surroundings;
        const snapshot = this.surroundings.snapshot();
        const limits = { nowMs: this.nowMs(), maxAgeMs: control.evidenceMaxAgeMs };
        const leaving = new Set(
            this.surroundings.listed().filter(({ state }) => state === "leaving").map(({ instance }) => instance),
        );
        this.standings = new Map(this.groups.map(group => {
            const recalled = group.members.map(({ instance }) => instance)
                .filter(instance => instanceIsRecalled(snapshot, instance));
            const versionRecalled = versionIsRecalled(snapshot, group.model, group.version);
            const facts = { leaving, recalledInstances: new Set(recalled), versionRecalled };
            return [group.group, judgeGroup(group, this.evidence, facts, limits)];
        }));
        this.judgedAtMs = limits.nowMs;
        onJudged(this);
    }

    private tick(): void {
        if (this.busy) {
            return;
        }
        this.busy = true;
        const { headVersion } = this;
        const news = headVersion === undefined ? undefined : {
            snapshot: this.surroundings.snapshot(),
            instances: this.surroundings.listed(),
            groups: this.groups,
            standings: this.standings,
            evidence: this.evidence,
            rows: this.rows,
            headVersion,
            judgedAtMs: this.judgedAtMs,
            entryCount: this.surroundings.entryCount,
        };
        this.carryOut(this.control.tick(news, this.instant()), () => {
            this.busy = false;
        });
    }

    private instant() {
        const newToken = (): string => `${this.name}-${this.surroundings.timer.nowMs()}-${this.tokens++}`;
        return { nowMs: this.nowMs(), random: this.surroundings.random, newToken };
    }

    private carryOut(commands: readonly Command[], done: () => void): void {
        const [first, ...rest] = commands;
        if (first === undefined) {
            done();
            return;
        }
        (this.performers[first.kind] as (command: Command, next: (outcome?: Outcome) => void) => void)(
            first,
            outcome => {
                const more = outcome === undefined ? [] : this.control.answered(outcome, this.instant());
                this.carryOut([...more, ...rest], done);
            },
        );
    }

    private readonly performers: {
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
                const engine = this.surroundings.engines.get(instance);
                this.surroundings.timer.after(this.surroundings.orderDelayMs(), () => engine?.take(order));
            }
            next();
        },
    };

    private read(at: Key, answer: (outcome: TableOutcome<Stored | undefined>) => void): void {
        this.call(0, () => ({ head: this.surroundings.table.read(at), rows: [] }), outcome => {
            answer(outcome.kind === "done" ? { kind: "done", value: outcome.value.head } : outcome);
        });
    }

    private write(
        writes: readonly Write[],
        token: string,
        answer: (outcome: TableOutcome<void>) => void,
        fence?: number,
    ): void {
        const { table, onChange } = this.surroundings;
        const delayMs = fence === undefined ? 0 : this.surroundings.changeDelayMs();
        this.call(delayMs, () => {
            const applied = table.transact(writes, token);
            if (applied && fence !== undefined) {
                onChange(fence);
            }
            return { head: undefined, rows: [], applied };
        }, outcome => {
            const applied = outcome.kind === "done" && outcome.value.applied;
            answer(
                outcome.kind !== "done" ? outcome : applied ? { kind: "done", value: undefined } : { kind: "conflict" },
            );
        });
    }

    /** Goes to the table and back; slow calls take effect after their caller has given up on them. */
    private call(
        delayMs: number,
        effect: () => { head: Stored | undefined; rows: readonly Stored[]; applied?: boolean },
        answer: (outcome: TableOutcome<ReturnType<typeof effect>>) => void,
    ): void {
        const { timer, random, fault } = this.surroundings;
        const { down, slowMs, loseAnswers } = fault();
        const takesMs = callMs + random() * slowMs + delayMs;
        const lost = down || takesMs > tableTimeoutMs || random() < loseAnswers;
        if (down) {
            this.later(tableTimeoutMs, () => answer({ kind: "unavailable", reason: "down" }));
            return;
        }
        if (lost) {
            timer.after(takesMs, effect);
            this.later(tableTimeoutMs, () => answer({ kind: "unavailable", reason: "no answer" }));
            return;
        }
        timer.after(takesMs, () => {
            const value = effect();
            this.later(callMs, () => answer({ kind: "done", value }));
        });
    }
}
