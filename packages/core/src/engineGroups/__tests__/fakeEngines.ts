/**
 * Simulates engine instances in virtual time: they execute orders at once or late, report their state, and record a
 * violation when a group is opened incomplete or a member is taken from a group that may still serve.
 */
import {
    type EngineGroup,
    type EngineOrder,
    type EngineProfile,
    type GroupMembership,
    type ServingService,
    type UpstreamRecord,
} from "@rattanquay/schema";
import { type OrderResult } from "../index";

export const profile: EngineProfile = {
    slots: 12,
    memoryTokens: 1_000_000,
    models: [
        { model: "large", groupSize: 4, share: 0.5, pace: 1, loadMs: 16_000, warmupMs: 1_600 },
        { model: "small", groupSize: 2, share: 0.5, pace: 0.6, loadMs: 12_000, warmupMs: 1_100 },
    ],
    stepMs: 7.8,
    perRequestMs: 0.13,
    perThousandContextMs: 0.01,
    stepsPerPass: 5,
    promptTokensPerMs: 45.9,
    perMillionPairsMs: 0.43,
    usualPromptTokens: 979,
    usualAnswerTokens: 154,
    reportLagMs: 200,
    loadsPerSecond: 5,
    loadsAtOnce: 7,
    formationMs: 300,
};

export const services: readonly ServingService[] = [
    { service: "assistant", healthPath: "/", maxConnections: 100, engine: profile },
];

const rejoinMs = 200;
/** How long a head stands still before it is broken. */
export const stallMs = 4_000;
/** How long the store keeps the entry of an unreachable instance. */
const entryLapseMs = 3_600;

type Engine = {
    record: UpstreamRecord;
    /** When it became unreachable, by death or by a partition; its entry lapses later. */
    unreachableSinceMs: number | undefined;
    /** Partitioned from the store and the planner: its entry lapses while it continues to serve. */
    isPartitioned: boolean;
    isListed: boolean;
    lastModel: string | undefined;
    highestEpoch: number;
    members: readonly string[];
    /** The group that it joined last, also after it has left. */
    lastGroup: GroupMembership | undefined;
    /** As a head: since when a member has been dead or outside its group. */
    stalledSinceMs: number | undefined;
    pendingActions: { readonly atMs: number; readonly act: () => void }[];
};

export class FakeEngines {
    nowMs = 0;
    readonly violations: string[] = [];
    readonly loadsAtMs: number[] = [];
    private readonly engines = new Map<string, Engine>();
    private readonly everReady = new Set<string>();

    add(id: string, fabricDomain: string, availabilityZone = "a"): void {
        this.engines.set(id, {
            record: {
                id,
                service: "assistant",
                address: `${id}:1`,
                availabilityZone,
                slots: 12,
                isDraining: false,
                bornAtMs: this.nowMs + 1,
                fabricDomain,
                stagedModels: [],
                loadedModels: [],
            },
            unreachableSinceMs: undefined,
            isPartitioned: false,
            isListed: true,
            lastModel: undefined,
            highestEpoch: 0,
            members: [],
            lastGroup: undefined,
            stalledSinceMs: undefined,
            pendingActions: [],
        });
    }

    advance(ms: number): void {
        this.nowMs += ms;
        for (const engine of this.engines.values()) {
            const dueActions = engine.pendingActions.filter(({ atMs }) => atMs <= this.nowMs);
            engine.pendingActions = engine.pendingActions.filter(({ atMs }) => atMs > this.nowMs);
            dueActions.forEach(({ act }) => act());
        }
        this.engines.forEach(engine => this.breakIfStalled(engine));
    }

    /** A head whose member is dead or has left stands still, and is broken after `stallMs`. A partition of a member is no death. */
    private breakIfStalled(engine: Engine): void {
        const { record, members } = engine;
        const { membership } = record;
        if (membership?.rank !== 0 || (membership.state !== "open" && membership.state !== "closing")) {
            return;
        }
        const isIntact = members.every(id => {
            const { record: member, unreachableSinceMs, isPartitioned } = this.engine(id);
            return (unreachableSinceMs === undefined || isPartitioned)
                && member.membership?.group === membership.group && member.membership.epoch === membership.epoch;
        });
        engine.stalledSinceMs ??= isIntact ? undefined : this.nowMs;
        if (engine.stalledSinceMs !== undefined && this.nowMs - engine.stalledSinceMs >= stallMs) {
            engine.record = { ...record, membership: { ...membership, state: "broken" } };
        }
    }

    makeUnreachable(id: string): void {
        this.engine(id).unreachableSinceMs = this.nowMs;
    }

    cut(id: string, isPartitioned: boolean): void {
        const engine = this.engine(id);
        engine.isPartitioned = isPartitioned;
        engine.unreachableSinceMs = isPartitioned ? this.nowMs : undefined;
    }

    restart(id: string): void {
        const engine = this.engine(id);
        engine.unreachableSinceMs = undefined;
        engine.pendingActions = [];
        engine.lastModel = undefined;
        engine.lastGroup = undefined;
        engine.highestEpoch = 0;
        engine.record = { ...engine.record, bornAtMs: this.nowMs + 1, loadedModels: [], membership: undefined };
    }

    /** Removes or restores the entry of an instance that continues to serve. */
    list(id: string, isListed: boolean): void {
        this.engine(id).isListed = isListed;
    }

    drain(id: string): void {
        this.engine(id).record = { ...this.engine(id).record, isDraining: true };
    }

    /** The entries in the store; those of unreachable instances lapse after `entryLapseMs`. */
    records(): Map<string, UpstreamRecord> {
        const listed = [...this.engines.values()].filter(({ unreachableSinceMs, isListed }) =>
            isListed && (unreachableSinceMs === undefined || this.nowMs - unreachableSinceMs < entryLapseMs)
        );
        return new Map(listed.map(({ record }) => [record.id, record]));
    }

    unreachable(): Set<string> {
        const silent = [...this.engines.values()].filter(({ unreachableSinceMs }) =>
            unreachableSinceMs !== undefined && this.nowMs - unreachableSinceMs > 900
        );
        return new Set(silent.map(({ record }) => record.id));
    }

    /** Number of groups of a model that serve. */
    serving(model: string): number {
        return [...this.engines.values()].filter(engine =>
            engine.record.loadedModels.includes(model) && this.isServingHead(engine)
        ).length;
    }

    /** Whether an instance is a member of a group that serves. */
    isServing(id: string): boolean {
        return [...this.engines.values()].some(engine => engine.members.includes(id) && this.isServingHead(engine));
    }

    private isServingHead({ record: { membership }, unreachableSinceMs, members }: Engine): boolean {
        return membership?.state === "open" && unreachableSinceMs === undefined
            && members.every(id => this.isMember(id, membership));
    }

    ids(): readonly string[] {
        return [...this.engines.keys()];
    }

    isAlive(id: string): boolean {
        return this.engine(id).unreachableSinceMs === undefined;
    }

    isPartitioned(id: string): boolean {
        return this.engine(id).isPartitioned;
    }

    order(id: string, order: EngineOrder): OrderResult {
        const engine = this.engines.get(id);
        if (engine === undefined || engine.unreachableSinceMs !== undefined) {
            return "unanswered";
        }
        return this.execute(engine, order);
    }

    /** Executes an order that was delayed in transit and whose answer nobody receives. */
    executeLate(id: string, order: EngineOrder): void {
        const engine = this.engines.get(id);
        if (engine !== undefined && engine.unreachableSinceMs === undefined) {
            this.execute(engine, order);
        }
    }

    private engine(id: string): Engine {
        return this.engines.get(id)!;
    }

    private isMember(id: string, { group, epoch }: GroupMembership): boolean {
        const engine = this.engines.get(id);
        return engine?.unreachableSinceMs === undefined && engine?.record.membership?.group === group
            && engine.record.membership.epoch === epoch;
    }

    private execute(engine: Engine, order: EngineOrder): OrderResult {
        const handlers = {
            join: (joined: Extract<EngineOrder, { kind: "join" }>) => this.join(engine, joined),
            open: (opened: Extract<EngineOrder, { kind: "open" }>) => this.open(engine, opened),
            close: (closed: Extract<EngineOrder, { kind: "close" }>) => this.close(engine, closed),
            leave: (left: Extract<EngineOrder, { kind: "leave" }>) => this.leave(engine, left),
            stage: (staged: Extract<EngineOrder, { kind: "stage" }>) => this.stage(engine, staged.model),
        };
        return (handlers[order.kind] as (order: EngineOrder) => OrderResult)(order);
    }

    private join(
        engine: Engine,
        { group, epoch, model, members }: Extract<EngineOrder, { kind: "join" }>,
    ): OrderResult {
        if (epoch < engine.highestEpoch) {
            return "rejected";
        }
        const { record } = engine;
        if (record.membership?.group === group && record.membership.epoch === epoch) {
            return "accepted";
        }
        if (engine.lastGroup?.group !== group || engine.lastGroup.epoch !== epoch) {
            this.checkLeaving(engine);
        }
        engine.highestEpoch = epoch;
        engine.members = members;
        const { warmupMs, loadMs } = profile.models.find(offered => offered.model === model)!;
        const staged = record.stagedModels.includes(model);
        const ms = engine.lastModel === model ? rejoinMs : staged ? warmupMs : loadMs;
        if (ms === loadMs) {
            this.loadsAtMs.push(this.nowMs);
        }
        const membership = { group, epoch, rank: members.indexOf(record.id), state: "joining" as const };
        engine.lastGroup = membership;
        engine.stalledSinceMs = undefined;
        engine.record = { ...record, membership, loadedModels: [] };
        engine.pendingActions = [{
            atMs: this.nowMs + ms,
            act: () => {
                engine.lastModel = model;
                this.everReady.add(`${group}/${epoch}/${record.id}`);
                engine.record = {
                    ...engine.record,
                    stagedModels: [model],
                    loadedModels: [model],
                    membership: { ...membership, state: "ready" },
                };
            },
        }];
        return "accepted";
    }

    /**
     * Records a violation if the instance is taken from a group whose head is open or closing, or stands still and isn't broken
     * yet. That the instance itself has left before is no excuse.
     */
    private checkLeaving({ record, lastGroup }: Engine): void {
        const head = [...this.engines.values()].find(({ record: { membership } }) =>
            membership?.group === lastGroup?.group && membership?.rank === 0 && membership.epoch === lastGroup?.epoch
        );
        const state = head?.record.membership?.state;
        const isAlive = head !== undefined && (head.unreachableSinceMs === undefined || head.isPartitioned);
        if (lastGroup !== undefined && isAlive && (state === "open" || state === "closing")) {
            this.violations.push(`${record.id} joined another group while ${lastGroup.group} was ${state}`);
        }
    }

    private open(engine: Engine, { group, epoch }: Extract<EngineOrder, { kind: "open" }>): OrderResult {
        const { membership } = engine.record;
        if (membership?.group !== group || membership.epoch !== epoch || membership.state === "joining") {
            return "rejected";
        }
        const unready = engine.members.filter(id => !this.everReady.has(`${group}/${epoch}/${id}`));
        if (unready.length > 0) {
            this.violations.push(`${group} was opened without ${unready.join(", ")}`);
        }
        engine.record = { ...engine.record, membership: { ...membership, state: "open" } };
        return "accepted";
    }

    private close(engine: Engine, { group, epoch }: Extract<EngineOrder, { kind: "close" }>): OrderResult {
        const { membership } = engine.record;
        if (membership?.group !== group || membership.epoch !== epoch) {
            return "rejected";
        }
        engine.record = { ...engine.record, membership: { ...membership, state: "closing" } };
        engine.pendingActions = [{
            atMs: this.nowMs + 500,
            act: () => engine.record = { ...engine.record, membership: { ...membership, state: "ready" } },
        }];
        return "accepted";
    }

    private leave(engine: Engine, { group, epoch }: Extract<EngineOrder, { kind: "leave" }>): OrderResult {
        const { membership } = engine.record;
        if (membership?.group !== group || membership.epoch !== epoch) {
            return "rejected";
        }
        engine.pendingActions = [];
        engine.record = { ...engine.record, membership: undefined, loadedModels: [] };
        return "accepted";
    }

    private stage(engine: Engine, model: string): OrderResult {
        this.loadsAtMs.push(this.nowMs);
        const { loadMs } = profile.models.find(offered => offered.model === model)!;
        engine.pendingActions.push({
            atMs: this.nowMs + loadMs,
            act: () => engine.record = { ...engine.record, stagedModels: [model] },
        });
        return "accepted";
    }
}

/** The groups' rows in the store. */
export type Rows = Map<string, EngineGroup>;
