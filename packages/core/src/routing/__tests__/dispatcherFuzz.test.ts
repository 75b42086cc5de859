/** Runs random sequences of calls and checks invariants that hold for every policy. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Job, makeDispatcher, type Replica } from "../index";

type Step =
    | {
        readonly kind: "replicas";
        readonly concurrencies: readonly number[];
        readonly reported: number;
        readonly ageMs: number;
    }
    | { readonly kind: "submit"; readonly workspace: string; readonly long: boolean; readonly avoid: readonly string[] }
    | { readonly kind: "release"; readonly pick: number; readonly betweenTokensMs: number | undefined }
    | { readonly kind: "abandon"; readonly pick: number }
    | { readonly kind: "outgrow"; readonly pick: number }
    | { readonly kind: "peers"; readonly count: number }
    | { readonly kind: "pass"; readonly ms: number };

const names = ["r0", "r1", "r2"];
const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("replicas" as const),
            concurrencies: fc.array(fc.integer({ min: 1, max: 6 }), { maxLength: 3 }),
            reported: fc.integer({ min: 0, max: 10 }),
            ageMs: fc.integer({ min: 0, max: 6_000 }),
        }),
    },
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            workspace: fc.constantFrom("w0", "w1"),
            long: fc.boolean(),
            avoid: fc.subarray(names, { maxLength: 1 }),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("release" as const),
            pick: fc.nat(),
            betweenTokensMs: fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("abandon" as const), pick: fc.nat() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("outgrow" as const), pick: fc.nat() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("peers" as const), count: fc.nat({ max: 8 }) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("pass" as const), ms: fc.integer({ min: 1, max: 700 }) }) },
);

type Waiting = { readonly job: Job; readonly order: number };

/** Tracks which jobs wait and where jobs run, from the dispatcher's results alone, and checks each start. */
class Oracle {
    readonly waiting = new Map<string, Waiting>();
    readonly running = new Map<string, string>();
    replicas: readonly Replica[] = [];

    start(job: Job, replica: Replica): void {
        assert.not(this.running.has(job.id), `${job.id} started twice`);
        assert.ok(this.replicas.some(known => known.replica === replica.replica), "started on an unknown replica");
        assert.not(job.excludedReplicas.has(replica.replica), "started on a replica to avoid");
        this.waiting.delete(job.id);
        this.running.set(job.id, replica.replica);
        const there = [...this.running.values()].filter(name => name === replica.replica).length;
        const { concurrency } = this.replicas.find(known => known.replica === replica.replica)!;
        assert.ok(there <= concurrency, `${there} on ${replica.replica}, which takes ${concurrency}`);
    }

    /** Jobs of the same workspace and class with the same excluded replicas start in order of arrival. */
    checkOrder({ job, order }: Waiting): void {
        const passed = [...this.waiting.values()].find(other =>
            other.order < order && other.job.workspace === job.workspace && other.job.workClass === job.workClass
            && [...other.job.excludedReplicas].join() === [...job.excludedReplicas].join()
        );
        assert.is(passed, undefined, `${job.id} started before ${passed?.job.id}`);
    }
}

for (const admission of ["reserved", "firstCome"] as const) {
    test(`no job is lost, none starts twice, limits, order and deadlines hold: ${admission}`, () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), steps => runSteps(admission, steps)),
            { seed: 7, numRuns: 400 },
        );
    });
}

function runSteps(admission: "reserved" | "firstCome", steps: readonly Step[]): void {
    const dispatcher = makeDispatcher({ availabilityZone: "a", routing: "twoChoices", admission });
    const oracle = new Oracle();
    let nowMs = 0;
    let drawn = 0;
    let submitted = 0;
    const random = (): number => (drawn = (drawn + 0.618) % 1);
    const pickFrom = (ids: Iterable<string>, pick: number): string => {
        const all = [...ids];
        return all[pick % Math.max(1, all.length)] ?? "unknown";
    };
    const handlers: { readonly [K in Step["kind"]]: (step: Extract<Step, { readonly kind: K }>) => void } = {
        replicas: ({ concurrencies, reported, ageMs }) => {
            oracle.replicas = concurrencies.map((concurrency, index) => ({
                replica: names[index]!,
                address: names[index]!,
                availabilityZone: index === 0 ? "b" : "a",
                fence: 1,
                concurrency,
                betweenTokensMs: 52,
                reported: { running: reported, waiting: 0, ageMs },
            }));
            dispatcher.setReplicas("s", oracle.replicas, nowMs);
        },
        submit: ({ workspace, long, avoid }) => {
            const job: Job = {
                id: `j${submitted++}`,
                service: "s",
                workspace,
                share: workspace === "w0" ? 1 : 3,
                workClass: long ? "long" : "short",
                priority: 5,
                startDeadlineMs: nowMs + 930,
                excludedReplicas: new Set(avoid),
            };
            const submission = dispatcher.submit(job, nowMs, random);
            if (submission.kind === "started") {
                oracle.start(job, submission.replica);
            }
            if (submission.kind === "queued") {
                oracle.waiting.set(job.id, { job, order: submitted });
            }
            if (submission.kind === "refused") {
                assert.ok(submission.retryAfterMs >= 1_000);
            }
        },
        release: ({ pick, betweenTokensMs }) => {
            const id = pickFrom(oracle.running.keys(), pick);
            dispatcher.release(
                id,
                nowMs,
                betweenTokensMs === undefined
                    ? { kind: "failed" }
                    : { kind: "answered", firstTokenMs: 50, betweenTokensMs },
            );
            oracle.running.delete(id);
        },
        abandon: ({ pick }) => {
            const id = pickFrom(oracle.waiting.keys(), pick);
            dispatcher.cancel(id);
            oracle.waiting.delete(id);
        },
        outgrow: ({ pick }) => dispatcher.reclassifyAsLong(pickFrom(oracle.running.keys(), pick)),
        peers: ({ count }) => dispatcher.setProcessCount(count),
        pass: ({ ms }) => {
            nowMs += ms;
            for (const id of dispatcher.expire(nowMs)) {
                assert.ok(oracle.waiting.delete(id), `${id} expired and was not waiting`);
            }
            const late = [...oracle.waiting.values()].find(({ job }) => job.startDeadlineMs <= nowMs);
            assert.is(late, undefined, `${late?.job.id} waits beyond its deadline`);
        },
    };
    for (const next of steps) {
        (handlers[next.kind] as (step: Step) => void)(next);
        for (const { id, replica } of dispatcher.startQueued(nowMs, random)) {
            const entry = oracle.waiting.get(id);
            assert.ok(entry, `${id} started and was not waiting`);
            oracle.start(entry!.job, replica);
            oracle.checkOrder(entry!);
        }
        assert.is(dispatcher.queuedOf("s"), oracle.waiting.size, "jobs waiting");
        const running = names.reduce((sum, name) => sum + dispatcher.inFlightOf(name), 0);
        assert.is(running, oracle.running.size, "jobs running");
    }
}

test.run();
