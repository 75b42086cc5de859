/** One engine instance in virtual time: its assignment, its weights, and what it says of itself. */
import { type Order, type ServerInfo } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";

export type FakeEngineOptions = {
    readonly instance: string;
    readonly fabricDomain: string;
    readonly checksFence: boolean;
    readonly loadMs: number;
    /** Resolves the instant at which the weight store has given the weights out. */
    readonly fetchWeights: () => number;
    readonly timer: Timer;
};

/** A version that no engine gets ready. */
export const neverReadyVersion = "never-ready";

type LoadOrder = Extract<Order, { readonly kind: "load" }>;
type Assignment = LoadOrder & { status: ServerInfo["status"] };

export class FakeEngine {
    alive = true;
    /** A paused instance answers nobody and keeps its state. */
    paused = false;
    boot = 1;
    /** When the assignment or the boot last changed. */
    changedAtMs = 0;
    private assignment: Assignment | undefined;
    private highestFence = 0;
    private readonly cached = new Set<string>();

    constructor(readonly options: FakeEngineOptions) {}

    get instance(): string {
        return this.options.instance;
    }

    get group(): string | undefined {
        return this.alive ? this.assignment?.group : undefined;
    }

    get isReady(): boolean {
        return this.alive && this.assignment?.status === "ready";
    }

    bootId(): string {
        return `${this.instance}-${this.boot}`;
    }

    kill(): void {
        this.alive = false;
        this.assign(undefined);
    }

    restart(): void {
        this.boot++;
        this.alive = true;
        this.paused = false;
        this.highestFence = 0;
        this.cached.clear();
        this.assign(undefined);
    }

    take(order: Order): void {
        const { checksFence } = this.options;
        if (!this.alive || this.paused || checksFence && order.fence < this.highestFence) {
            return;
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        if (order.kind === "unload") {
            if (this.assignment?.group === order.group) {
                this.assign(undefined);
            }
            return;
        }
        if (this.assignment?.group !== order.group || this.assignment.fence !== order.fence) {
            this.load(order);
        }
    }

    /** The engine's own watch: a ready group fails with a member that is gone or belongs elsewhere. */
    watch(engineAt: (address: string) => FakeEngine | undefined): void {
        const { assignment } = this;
        if (!this.alive || this.paused || assignment?.status !== "ready") {
            return;
        }
        const intact = assignment.members.every(address => engineAt(address)?.group === assignment.group);
        if (!intact) {
            assignment.status = "failed";
            this.changedAtMs = this.options.timer.nowMs();
        }
    }

    info(): ServerInfo | undefined {
        if (!this.alive || this.paused) {
            return undefined;
        }
        const { group, fence, model, version, adapter, status = "idle" } = this.assignment ?? {};
        const load = { running: 0, waiting: 0, ageMs: 0 };
        const cachedWeights = [...this.cached];
        return {
            instance: this.instance,
            bootId: this.bootId(),
            status,
            group,
            fence,
            model,
            version,
            adapter,
            cachedWeights,
            load,
        };
    }

    private load(order: LoadOrder): void {
        const mine: Assignment = { ...order, status: "loading" };
        this.assign(mine);
        if (order.version === neverReadyVersion) {
            return;
        }
        const { timer, loadMs, fetchWeights } = this.options;
        const weights = `${order.model}@${order.version}`;
        const fetchedAtMs = this.cached.has(weights) ? timer.nowMs() : fetchWeights();
        const boot = this.boot;
        timer.after(fetchedAtMs - timer.nowMs() + loadMs, () => {
            if (this.boot === boot && this.alive) {
                this.cached.add(weights);
            }
            if (this.assignment === mine) {
                mine.status = "ready";
                this.changedAtMs = timer.nowMs();
            }
        });
    }

    private assign(assignment: Assignment | undefined): void {
        this.assignment = assignment;
        this.changedAtMs = this.options.timer.nowMs();
    }
}
