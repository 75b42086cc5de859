/**
 * Many processes with clocks of their own, the store with the lease row, and cold upstreams, in virtual time.
 *
 * The decisions are the product's (lease, ledger, rules of the asking process); the world supplies delays, losses, cuts,
 * freezes, restarts and wrong views of who holds the lease, and records when requests are sent.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import {
    initialPlanningLease,
    mayPlan,
    nextPlanningStep,
    noteSnapshot,
    noteUncertainOutcome,
    type PlanningLeaseState,
} from "../../serving";
import {
    answerTimeoutMs,
    type GrantResult,
    hasGrantLapsed,
    makeColdGrantLedger,
    makeColdUpstreams,
    makeGrantQuestions,
    makeHolderView,
    makeTermStart,
    type ReportedHolder,
} from "../index";
import { Schedule } from "./schedule";
import { type StoreState, type TrueUpstream, type WorldOptions } from "./trueUpstream";

export const termMs = 1_500;
export const cold = { durationMs: 3_000, requestsPerSecond: 15 };
const zone = "zone-a";

export type World = ReturnType<typeof makeWorld>;

export function makeWorld({ seed, processes: count, limit, requestEveryMs, hasFaults }: WorldOptions) {
    const generator = xoroshiro128plus(seed);
    const draw = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
    const chance = (oneIn: number): boolean => hasFaults && draw(oneIn) === 0;
    const schedule = new Schedule();
    let nowMs = 0;
    const upstreams: readonly TrueUpstream[] = Array.from({ length: 3 }, (unused, index) => ({
        id: `u${index}`,
        coldForMs: 0,
        bornAtMs: -1,
        coldUntilMs: -Infinity,
        isOut: true,
        sentAtMs: [],
        ungranted: 0,
    }));
    const store: StoreState = { row: undefined, revision: 0, downUntilMs: 0 };
    const cuts = new Map<string, number>();
    const cutKey = (a: number, b: number): string => a < b ? `${a}/${b}` : `${b}/${a}`;
    const storeIndex = -1;
    const results: Partial<Record<GrantResult | "unanswered" | "lapsed", number>> = {};
    const countResult = (result: GrantResult | "unanswered" | "lapsed"): void => {
        results[result] = (results[result] ?? 0) + 1;
    };

    /** The delay of a message between two places, or undefined if it is lost. Across a cut, it may arrive when that ends. */
    const delayOf = (from: number, to: number): number | undefined => {
        const cutUntilMs = cuts.get(cutKey(from, to)) ?? 0;
        if (cutUntilMs > nowMs) {
            return draw(2) === 0 ? undefined : cutUntilMs - nowMs + draw(200);
        }
        const usualMs = 1 + draw(800) / 100;
        return chance(40) ? draw(3_000) : chance(30) ? draw(150) : chance(60) ? undefined : usualMs;
    };

    class Process {
        generation = 0;
        frozenUntilMs = 0;
        readonly offsetMs = draw(1_000_000);
        private lease: PlanningLeaseState = initialPlanningLease;
        private isCallingStore = false;
        private readonly termStart = makeTermStart();
        private readonly ledger = makeColdGrantLedger();
        private readonly questions = makeGrantQuestions();
        private readonly view = makeHolderView();
        private readonly coldUpstreams = makeColdUpstreams();
        /** Upstreams that it knows to be in service, by the incarnation that it knows. */
        private readonly listed = new Map<string, number>();
        private isStopped = false;

        constructor(readonly index: number, private readonly tag: number) {
            this.repeat(60, () => this.stepLease());
            this.repeat(300, () => this.gossip());
            this.repeat(requestEveryMs, () => this.request());
            this.repeat(1_000, () => {
                this.ledger.takeCounts(this.now());
                this.coldUpstreams.prune(this.now());
            });
        }

        now(): number {
            return nowMs + this.offsetMs;
        }

        stop(): void {
            this.isStopped = true;
        }

        isHolder(): boolean {
            return !this.isStopped && mayPlan(this.lease, { termMs }, this.now());
        }

        /** Runs an action in this process; while it is frozen, what arrives waits. */
        deliver(delayMs: number | undefined, action: () => void): void {
            if (delayMs === undefined) {
                return;
            }
            schedule.add(nowMs + delayMs, () => {
                if (this.isStopped) {
                    return;
                }
                if (this.frozenUntilMs > nowMs) {
                    this.deliver(this.frozenUntilMs - nowMs + draw(3), action);
                    return;
                }
                action();
            });
        }

        learnUpstream(id: string, bornAtMs: number, coldForMs: number): void {
            if ((this.listed.get(id) ?? -Infinity) > bornAtMs) {
                return;
            }
            this.listed.set(id, bornAtMs);
            this.coldUpstreams.noteCold(id, coldForMs, this.now());
        }

        forgetUpstream(id: string, bornAtMs: number): void {
            if (this.listed.get(id) === bornAtMs) {
                this.listed.delete(id);
            }
        }

        learnEvacuationEnd(): void {
            this.coldUpstreams.noteEvacuationEnded(zone, this.now());
        }

        private repeat(everyMs: number, action: () => void): void {
            this.deliver(everyMs * (0.5 + draw(1_000) / 1_000), () => {
                action();
                this.repeat(everyMs, action);
            });
        }

        private setLease(next: PlanningLeaseState): void {
            this.lease = next;
            this.termStart.note(next.held?.fence, this.now());
            const { reading } = next;
            if (reading?.row !== undefined) {
                const ageMs = this.now() - reading.sentAtMs;
                this.view.note({ instance: reading.row.holder, fence: reading.row.fence, ageMs }, this.now());
            }
        }

        private stepLease(): void {
            const options = {
                holder: `${this.index}/${this.tag}`,
                termMs,
                readEveryMs: 300 + draw(400),
                takeDelayMs: draw(3) * 200,
            };
            if (this.isCallingStore) {
                return;
            }
            if (this.lease.held !== undefined && this.now() >= this.lease.held.untilMs) {
                this.setLease({ ...this.lease, held: undefined });
            }
            const step = nextPlanningStep(this.lease, options, this.now());
            if (step.kind === "wait") {
                return;
            }
            this.isCallingStore = true;
            const sentAtMs = this.now();
            let hasEnded = false;
            const end = (next: () => PlanningLeaseState): void => {
                if (!hasEnded) {
                    hasEnded = true;
                    this.isCallingStore = false;
                    this.setLease(next());
                }
            };
            const fail = (): void => end(() => noteUncertainOutcome(this.lease, this.now(), draw(150)));
            this.deliver(700, fail);
            const outMs = delayOf(this.index, storeIndex);
            if (outMs === undefined) {
                return;
            }
            schedule.add(nowMs + outMs, () => {
                if (store.downUntilMs > nowMs) {
                    return;
                }
                const isDone = step.kind === "read" || step.expectedRevision === store.revision;
                if (step.kind === "write" && isDone) {
                    store.row = step.row;
                    store.revision++;
                }
                const { row, revision } = store;
                const storeNowMs = nowMs;
                this.deliver(delayOf(storeIndex, this.index), () => {
                    if (!isDone) {
                        fail();
                        return;
                    }
                    end(() => noteSnapshot(this.lease, { row, revision, storeNowMs, sentAtMs }, options));
                });
            });
        }

        private gossip(): void {
            const known = this.isHolder() ? this.ownTerm() : this.view.current(this.now());
            // What a process with a wrong list of peers, or of an earlier deployment, might report.
            const wrong = { instance: `${draw(count)}/0`, fence: draw(40), ageMs: draw(12_000) };
            const said = chance(15) ? wrong : known;
            for (let peer = 0; peer < 3 && said !== undefined; peer++) {
                const to = draw(count);
                const receiver = processes[to]!;
                receiver.deliver(delayOf(this.index, to), () => receiver.view.note(said, receiver.now()));
            }
        }

        private ownTerm(): ReportedHolder {
            return { instance: `${this.index}/${this.tag}`, fence: this.lease.held!.fence, ageMs: 0 };
        }

        private request(): void {
            const { id } = upstreams[draw(upstreams.length)]!;
            const bornAtMs = this.listed.get(id);
            if (bornAtMs === undefined) {
                return;
            }
            if (!this.isCold(id)) {
                this.send(id);
                return;
            }
            const askedAtMs = this.now();
            if (this.isHolder()) {
                // The process can be frozen between its own grant and the send.
                const result = this.answer(id);
                this.deliver(chance(20) ? draw(300) : 0, () => this.take(result, id, bornAtMs, askedAtMs));
                return;
            }
            const holder = this.view.current(this.now());
            if (holder === undefined || !this.questions.mayAsk(holder.instance, this.now())) {
                return;
            }
            this.ask(id, bornAtMs, holder.instance, askedAtMs);
        }

        private ask(id: string, bornAtMs: number, holder: string, askedAtMs: number): void {
            const to = Number(holder.split("/")[0]);
            let isOpen = true;
            this.deliver(answerTimeoutMs, () => {
                if (isOpen) {
                    isOpen = false;
                    countResult("unanswered");
                    this.questions.noteUnanswered(holder, this.now());
                }
            });
            const asked = processes[to]!;
            asked.deliver(delayOf(this.index, to), () => {
                const result = asked.answer(id);
                this.deliver(delayOf(to, this.index), () => {
                    // An answer can be read before the timer that gave the question up, or after it.
                    if (!isOpen) {
                        return;
                    }
                    isOpen = false;
                    if (result === "notHolder") {
                        this.questions.noteUnanswered(holder, this.now());
                    }
                    this.take(result, id, bornAtMs, askedAtMs);
                });
            });
        }

        private answer(id: string): GrantResult {
            const term = { isHeld: this.isHolder(), sinceMs: this.termStart.sinceMs() };
            return this.ledger.decide(id, limit, term, this.now());
        }

        private take(result: GrantResult, id: string, bornAtMs: number, askedAtMs: number): void {
            countResult(result);
            if (result !== "granted") {
                return;
            }
            // A connection may have to be opened first, and the process can be frozen meanwhile.
            const connectMs = chance(4) ? draw(200) : 0;
            this.deliver(connectMs, () => {
                if (this.listed.get(id) !== bornAtMs) {
                    return;
                }
                if (this.isCold(id) && hasGrantLapsed(askedAtMs, this.now())) {
                    countResult("lapsed");
                    return;
                }
                this.send(id);
            });
        }

        private isCold(id: string): boolean {
            return this.coldUpstreams.isCold({ id, availabilityZone: zone }, cold, this.now());
        }

        private send(id: string): void {
            const upstream = upstreams.find(known => known.id === id)!;
            if (upstream.isOut) {
                return;
            }
            upstream.ungranted += this.isCold(id) ? 0 : 1;
            if (nowMs < upstream.coldUntilMs) {
                upstream.sentAtMs.push(nowMs);
            }
        }
    }

    let nextTag = 0;
    let evacuationEndedAtMs = -Infinity;
    const processes: Process[] = Array.from({ length: count }, (unused, index) => new Process(index, nextTag++));
    const tellAll = (tell: (process: Process) => void, maxDelayMs: number): void => {
        processes.forEach((unused, index) => {
            const process = processes[index]!;
            process.deliver(draw(maxDelayMs), () => tell(process));
        });
    };
    /** Starts an upstream, new or again with the same id, cold for a time that its record states. */
    const startUpstream = (upstream: TrueUpstream, coldForMs: number): void => {
        const bornAtMs = nowMs;
        Object.assign(upstream, { bornAtMs, coldForMs, coldUntilMs: nowMs + coldForMs, isOut: false });
        tellAll(process => process.learnUpstream(upstream.id, bornAtMs, coldForMs), hasFaults ? 2_000 : 100);
    };
    return {
        draw,
        upstreams,
        processes,
        results,
        nowMs: () => nowMs,
        advance: (durationMs: number): void => {
            const untilMs = nowMs + durationMs;
            while (schedule.nextAtMs() <= untilMs) {
                const event = schedule.take();
                nowMs = event.atMs;
                event.run();
            }
            nowMs = untilMs;
        },
        startUpstream,
        /** It is down until `startUpstream`; processes learn of it within `maxDelayMs`. */
        stopUpstream: (upstream: TrueUpstream, maxDelayMs: number): void => {
            const { bornAtMs } = upstream;
            upstream.isOut = true;
            tellAll(process => process.forgetUpstream(upstream.id, bornAtMs), maxDelayMs);
        },
        beginEvacuation: (): void => upstreams.forEach(upstream => upstream.isOut = true),
        /** All upstreams return cold at once, while their records say nothing of it. */
        endEvacuation: (): void => {
            for (const upstream of upstreams) {
                upstream.coldUntilMs = Math.max(upstream.coldUntilMs, nowMs + cold.durationMs);
            }
            evacuationEndedAtMs = nowMs;
            processes.forEach(process => process.learnEvacuationEnd());
            upstreams.forEach(upstream => upstream.isOut = upstream.bornAtMs < 0);
        },
        /** The new process reads the records as they were last written. */
        restart: (index: number): void => {
            processes[index]!.stop();
            const process = new Process(index, nextTag++);
            processes[index] = process;
            if (nowMs < evacuationEndedAtMs + cold.durationMs) {
                // As a peer would tell it; the store holds no trace of an evacuation that is over.
                process.learnEvacuationEnd();
            }
            upstreams.filter(({ isOut }) => !isOut).forEach(({ id, bornAtMs, coldForMs }) =>
                process.learnUpstream(id, bornAtMs, coldForMs)
            );
        },
        freeze: (index: number, forMs: number): void => {
            processes[index]!.frozenUntilMs = nowMs + forMs;
        },
        cut: (a: number, b: number, forMs: number): void => {
            cuts.set(cutKey(a, b), nowMs + forMs);
        },
        cutFromStore: (index: number, forMs: number): void => {
            cuts.set(cutKey(index, storeIndex), nowMs + forMs);
        },
        stopStore: (forMs: number): void => {
            store.downUntilMs = nowMs + forMs;
        },
    };
}
