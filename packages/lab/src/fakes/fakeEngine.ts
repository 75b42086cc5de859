/** One engine instance in virtual time: its assignment, its cached weights and its `ServerInfo`. */
import { type Order, type ServerInfo } from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";

export type FakeEngineOptions = {
    readonly instance: string;
    readonly fabricDomain: string;
    readonly checksFence: boolean;
    readonly loadMs: number;
    /** Queues a read of the weights and returns the time at which the weight store has delivered them. */
    readonly fetchWeights: () => number;
    readonly timer: Timer;
};

/** A version whose load never completes. */
export const neverReadyVersion = "never-ready";

type LoadOrder = Extract<Order, { readonly kind: "load" }>;
type Assignment = LoadOrder & { status: ServerInfo["status"] };

export class FakeEngine {
    alive = true;
    /** A paused instance answers no request and keeps its state. */
    paused = false;
    bootNumber = 1;
    /** When the assignment, its status or the boot last changed. */
    stateChangedAtMs = 0;
    private assignment: Assignment | undefined;
    private highestFence = 0;
    private readonly cachedWeights = new Set<string>();

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
        return `${this.instance}-${this.bootNumber}`;
    }

    kill(): void {
        this.alive = false;
        this.assign(undefined);
    }

    restart(): void {
        this.bootNumber++;
        this.alive = true;
        this.paused = false;
        this.highestFence = 0;
        this.cachedWeights.clear();
        this.assign(undefined);
    }

    applyOrder(order: Order): void {
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

    /** Reports a ready group as failed once one of its members is gone or belongs to another group. */
    checkMembers(engineAt: (address: string) => FakeEngine | undefined): void {
        const { assignment } = this;
        if (!this.alive || this.paused || assignment?.status !== "ready") {
            return;
        }
        const intact = assignment.members.every(address => engineAt(address)?.group === assignment.group);
        if (!intact) {
            assignment.status = "failed";
            this.stateChangedAtMs = this.options.timer.nowMs();
        }
    }

    info(): ServerInfo | undefined {
        if (!this.alive || this.paused) {
            return undefined;
        }
        const { group, fence, model, version, adapter, status = "idle" } = this.assignment ?? {};
        const load = { running: 0, waiting: 0, ageMs: 0 };
        const cachedWeights = [...this.cachedWeights];
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
        const assignment: Assignment = { ...order, status: "loading" };
        this.assign(assignment);
        if (order.version === neverReadyVersion) {
            return;
        }
        const { timer, loadMs, fetchWeights } = this.options;
        const weights = `${order.model}@${order.version}`;
        const fetchedAtMs = this.cachedWeights.has(weights) ? timer.nowMs() : fetchWeights();
        const bootNumber = this.bootNumber;
        timer.after(fetchedAtMs - timer.nowMs() + loadMs, () => {
            if (this.bootNumber === bootNumber && this.alive) {
                this.cachedWeights.add(weights);
            }
            if (this.assignment === assignment) {
                assignment.status = "ready";
                this.stateChangedAtMs = timer.nowMs();
            }
        });
    }

    private assign(assignment: Assignment | undefined): void {
        this.assignment = assignment;
        this.stateChangedAtMs = this.options.timer.nowMs();
    }
}
