/**
 * Guards against a watch that never follows its table again after it was asked for confirmation, and against one that
 * calls its table up to date at a time for which the store has not said so.
 */
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type GatewayContext } from "../../gatewayContext";
import { type RowChanges, type RowStore, type StoreOutcome } from "../../ports";
import { watchTable } from "../tableWatch";

type Answer = (outcome: StoreOutcome<RowChanges>) => void;

/** More than the promises that one call to the store resolves one after another. */
const promiseDepth = 20;
const pollMs = 1_000;

async function settlePromises(): Promise<void> {
    for (let depth = 0; depth < promiseDepth; depth++) {
        await Promise.resolve();
    }
}

function done<T>(value: T, storeRevision: number, sentAtMs = 0): StoreOutcome<T> {
    return { kind: "done", value, stamp: { sentAtMs, storeNowMs: 0, storeRevision } };
}

test("history that is lost while a confirmation is under way leads to a full read", async () => {
    const timer = new VirtualTimer();
    let reads = 0;
    const follows: { readonly after: number; readonly answer: Answer }[] = [];
    const store: RowStore = {
        followSlackMs: 0,
        read: async () => {
            reads++;
            return done([], 7);
        },
        follow: (unused, after) => new Promise(resolve => follows.push({ after, answer: resolve })),
        write: async () => done(undefined, 7),
    };
    const context = { timer, log: silentLog, ports: { store }, random: () => 0, onFatalError: assert.unreachable };
    const watch = watchTable({
        table: "op",
        minPollMs: () => 0,
        maxWaitMs: () => pollMs,
        knownRevision: () => 0,
        reader: { onSnapshot: () => undefined, onChanges: () => undefined },
    }, context as unknown as GatewayContext);
    await settlePromises();
    const confirmed = watch.confirm();
    assert.is(follows.length, 2);
    follows[0]!.answer({ kind: "historyLost" });
    follows[1]!.answer(done({ rows: [], removed: [] }, 9));
    assert.is(await confirmed, true);
    await settlePromises();
    assert.is(reads, 2);
    assert.equal(follows.map(({ after }) => after), [7, 7, 7]);
    watch.stop();
});

test("CONFIG: a suspended watch that was never read, or has lost its history, is confirmed by a full read that is applied", async () => {
    const timer = new VirtualTimer();
    const calls: string[] = [];
    const snapshots: number[] = [];
    let revision = 7;
    let oldestKept = 0;
    let isRefusing = true;
    const store: RowStore = {
        followSlackMs: 0,
        read: async () => {
            calls.push("read");
            return isRefusing ? { kind: "refused", reason: "status 503" } : done([], revision);
        },
        follow: async (unused, after) => {
            calls.push(`follow ${after}`);
            return after < oldestKept ? { kind: "historyLost" } : done({ rows: [], removed: [] }, revision);
        },
        write: async () => done(undefined, revision),
    };
    const context = { timer, log: silentLog, ports: { store }, random: () => 0, onFatalError: assert.unreachable };
    const watch = watchTable({
        table: "op",
        minPollMs: () => 0,
        maxWaitMs: () => pollMs,
        knownRevision: () => 0,
        reader: { onSnapshot: (unused, asOf) => snapshots.push(asOf), onChanges: () => undefined },
    }, context as unknown as GatewayContext);
    watch.setActive(false);
    await settlePromises();
    assert.is(await watch.confirmAnyway(), false);
    isRefusing = false;
    assert.is(await watch.confirmAnyway(), true);
    revision = 90;
    oldestKept = 50;
    assert.is(await watch.confirmAnyway(), true);
    assert.is(await watch.confirmAnyway(), true);
    assert.equal(calls, ["read", "read", "read", "follow 7", "read", "follow 90"]);
    assert.equal(snapshots, [7, 90]);
    watch.stop();
});

/**
 * A store whose answers are given by the test and carry the time of their question, and the times as of which the watch
 * calls its table up to date.
 */
async function startWatch(readRevision: number) {
    const timer = new VirtualTimer();
    timer.advance(100);
    const follows: Answer[] = [];
    const upToDateAtMs: number[] = [];
    let storeRevision = readRevision;
    const store: RowStore = {
        followSlackMs: 0,
        read: async () => done([], storeRevision, timer.nowMs()),
        follow: () => {
            const sentAtMs = timer.nowMs();
            return new Promise(resolve =>
                follows.push(outcome =>
                    resolve(
                        outcome.kind === "done" ? done(outcome.value, outcome.stamp.storeRevision, sentAtMs) : outcome,
                    )
                )
            );
        },
        write: async () => done(undefined, storeRevision),
    };
    const context = { timer, log: silentLog, ports: { store }, random: () => 0, onFatalError: assert.unreachable };
    const watch = watchTable({
        table: "op",
        minPollMs: () => 0,
        maxWaitMs: () => pollMs,
        knownRevision: () => 0,
        onUpToDate: askedAtMs => upToDateAtMs.push(askedAtMs),
        reader: { onSnapshot: () => undefined, onChanges: () => undefined },
    }, context as unknown as GatewayContext);
    await settlePromises();
    const answer = async (call: number, outcome: StoreOutcome<RowChanges>): Promise<void> => {
        follows[call]!(outcome);
        await settlePromises();
    };
    return { timer, watch, upToDateAtMs, answer, setRevision: (revision: number) => storeRevision = revision };
}

const noChanges: RowChanges = { rows: [], removed: [] };

const answers: readonly {
    name: string;
    outcome: StoreOutcome<RowChanges>;
    /** The revision of the store's next full read. */
    readRevision?: number;
    upToDateAtMs: readonly number[];
}[] = [
    { name: "no changes", outcome: done(noChanges, 7), upToDateAtMs: [100, 100] },
    { name: "a later revision", outcome: done(noChanges, 9), upToDateAtMs: [100, 100] },
    { name: "a revision that lags behind", outcome: done(noChanges, 6), upToDateAtMs: [100] },
    { name: "no answer", outcome: { kind: "unanswered", reason: "silent" }, upToDateAtMs: [100] },
    { name: "a refusal", outcome: { kind: "refused", reason: "status 503" }, upToDateAtMs: [100] },
    { name: "lost history and a read", outcome: { kind: "historyLost" }, upToDateAtMs: [100, 300] },
    {
        name: "lost history and a read that lags behind",
        outcome: { kind: "historyLost" },
        readRevision: 5,
        upToDateAtMs: [100],
    },
];

for (const { name, outcome, readRevision = 7, upToDateAtMs } of answers) {
    test(`CONFIG: a poll sent at 100 ms and answered at 300 ms with ${name}`, async () => {
        const started = await startWatch(7);
        started.setRevision(readRevision);
        started.timer.advance(200);
        await started.answer(0, outcome);
        assert.equal(started.upToDateAtMs, upToDateAtMs);
        started.watch.stop();
    });
}

test("CONFIG: a confirmation counts from its own question, not from that of the running poll", async () => {
    const { timer, watch, upToDateAtMs, answer } = await startWatch(7);
    timer.advance(200);
    const confirmed = watch.confirm();
    timer.advance(50);
    await answer(1, done(noChanges, 7));
    assert.is(await confirmed, true);
    assert.equal(upToDateAtMs, [100, 300]);
    watch.stop();
});

test.run();
