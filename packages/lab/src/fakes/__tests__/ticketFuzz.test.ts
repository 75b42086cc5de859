/** Operators and a reader race on one table with lost, refused and late writes, under random orders of events. */
import { type Snapshot } from "@rattanquay/core";
import { readHead, readSnapshot, submitTicket } from "@rattanquay/entry";
import {
    configHeadKey,
    configPartition,
    HeadRow,
    SubjectRow,
    Ticket,
    ticketPartition,
    TicketRow,
    type Verdict,
} from "@rattanquay/schema";
import { type KeyedRow, type Table, type TableOutcome } from "@rattanquay/table";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeTable } from "..";

const runs = Number(process.env.FUZZ_RUNS ?? 150);
const seed = Number(process.env.FUZZ_SEED ?? 5);
const maxKeptTickets = 4;
const subjects = ["a", "b", "c"];

/**
 * What happens to a write: a lost one is applied and answered as unavailable, a late one is answered as unavailable and
 * applied later, and a refused one is answered as unavailable and not applied.
 */
const callFault = fc.constantFrom("fine", "fine", "fine", "lost", "refused", "late");
const submission = fc.record({
    number: fc.integer({ min: 1, max: 9 }),
    author: fc.constantFrom("ana", "beat"),
    declared: fc.subarray(subjects, { minLength: 1 }),
    removed: fc.constantFrom(undefined, ...subjects),
});
type Submission = { number: number; author: string; declared: readonly string[]; removed: string | undefined };

function ticketOf({ number, author, declared, removed }: Submission): Ticket {
    const workspaces = Object.fromEntries(
        declared.filter(name => name !== removed).map(name => [name, {
            keySha256: [String(number).padStart(64, "0")],
            services: [author],
        }]),
    );
    const remove = removed === undefined ? [] : [`workspaces/${removed}`];
    return Ticket.parse({ ticket: number, author, workspaces, remove });
}

/** The expected configuration at each revision, the invariants found broken, and the highest ticket of each subject. */
type Oracle = {
    readonly states: Map<number, string>;
    readonly violations: string[];
    readonly highest: Map<string, number>;
};

const serialize = (state: ReadonlyMap<string, unknown>): string =>
    JSON.stringify([...state].sort(([a], [b]) => a < b ? -1 : 1));

function recordState(table: FakeTable, oracle: Oracle): void {
    const head = table.read(configHeadKey);
    if (head === undefined) {
        return;
    }
    const { revision } = HeadRow.parse(head.body);
    const rows = table.list(configPartition).map(row => SubjectRow.parse(row.body));
    const state = new Map(rows.filter(row => row.state !== undefined).map(row => [row.name, row.state]));
    if (oracle.states.has(revision) && oracle.states.get(revision) !== serialize(state)) {
        oracle.violations.push(`revision ${revision} changed after it was accepted`);
    }
    if (revision < Math.max(0, ...oracle.states.keys())) {
        oracle.violations.push(`the head went back to revision ${revision}`);
    }
    oracle.states.set(revision, serialize(state));
    for (const { name, ticket } of rows) {
        if (ticket < (oracle.highest.get(name) ?? 0)) {
            oracle.violations.push(`${name} went from ticket ${oracle.highest.get(name)} back to ${ticket}`);
        }
        oracle.highest.set(name, ticket);
    }
    if (table.list(ticketPartition).length > maxKeptTickets) {
        oracle.violations.push("more tickets are kept than the limit allows");
    }
}

function makeFaultyTable(table: FakeTable, scheduler: fc.Scheduler, faults: Iterator<string>, oracle: Oracle): Table {
    const answer = async <T>(value: () => TableOutcome<T>, label: string): Promise<TableOutcome<T>> => {
        await scheduler.schedule(Promise.resolve(), label);
        const outcome = value();
        await scheduler.schedule(Promise.resolve(), `${label} answered`);
        return outcome;
    };
    return {
        read: key => answer<KeyedRow | undefined>(() => ({ kind: "done", value: table.read(key) }), `read ${key.key}`),
        list: partition => answer(() => ({ kind: "done", value: table.list(partition) }), `list ${partition}`),
        transact: async (writes, token) => {
            const fault = faults.next().value ?? "fine";
            const apply = (): boolean => {
                const applied = table.transact(writes, token);
                recordState(table, oracle);
                return applied;
            };
            if (fault === "late") {
                void scheduler.schedule(Promise.resolve(), "late write").then(apply);
            }
            if (fault === "late" || fault === "refused") {
                return answer(() => ({ kind: "unavailable", reason: fault }), fault);
            }
            return answer(() => {
                const applied = apply();
                return fault === "lost"
                    ? { kind: "unavailable", reason: fault }
                    : applied
                    ? { kind: "done", value: undefined }
                    : { kind: "conflict" };
            }, "transact");
        },
        stop: () => undefined,
    };
}

function makeReliableTable(table: FakeTable): Table {
    return {
        read: async key => ({ kind: "done", value: table.read(key) }),
        list: async partition => ({ kind: "done", value: table.list(partition) }),
        transact: async (writes, token) =>
            table.transact(writes, token) ? { kind: "done", value: undefined } : { kind: "conflict" },
        stop: () => undefined,
    };
}

const areEqual = (a: Verdict, b: Verdict): boolean => JSON.stringify(a) === JSON.stringify(b);

async function submitUntilJudged(table: Table, ticket: Ticket): Promise<Verdict> {
    for (let round = 0; round < 20; round++) {
        const verdict = await submitTicket(table, ticket, undefined, maxKeptTickets);
        if (verdict.kind !== "unavailable") {
            return verdict;
        }
    }
    throw new Error("no verdict after 20 attempts");
}

async function readUntil(table: Table, done: () => boolean, seen: Snapshot[]): Promise<void> {
    while (!done()) {
        const head = await readHead(table);
        const snapshot = head === undefined ? undefined : await readSnapshot(table, head, maxKeptTickets);
        if (snapshot !== undefined) {
            seen.push(snapshot);
        }
    }
}

function checkVerdicts(verdicts: readonly { ticket: Ticket; verdict: Verdict }[]): void {
    for (const { ticket, verdict } of verdicts) {
        const winners = verdicts.filter(other =>
            other.ticket.ticket === ticket.ticket && other.verdict.kind === "accepted"
        );
        assert.ok(
            new Set(winners.map(other => JSON.stringify(other.ticket))).size <= 1,
            "two accepted tickets share a number",
        );
        if (verdict.kind === "numberTaken") {
            assert.ok(winners.length > 0, "numberTaken without an accepted ticket of that number");
        }
        if (verdict.kind === "overtaken") {
            assert.ok(verdict.by > ticket.ticket, `ticket ${ticket.ticket} was overtaken by ${verdict.by}`);
            assert.ok(verdicts.some(other => other.ticket.ticket === verdict.by && other.verdict.kind === "accepted"));
        }
    }
}

test("racing tickets: one winner per number, losers told, no rollback, bounded rows, consistent reads", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.scheduler(),
            fc.array(submission, { minLength: 2, maxLength: 9 }),
            fc.infiniteStream(callFault),
            async (scheduler, submissions, faults) => {
                const fake = new FakeTable();
                const oracle: Oracle = { states: new Map([[0, "[]"]]), violations: [], highest: new Map() };
                const table = makeFaultyTable(fake, scheduler, faults, oracle);
                const seen: Snapshot[] = [];
                let undecided = submissions.length;
                const verdicts = Promise.all(submissions.map(async submitted => {
                    const ticket = ticketOf(submitted);
                    const verdict = await submitUntilJudged(table, ticket);
                    undecided--;
                    return { ticket, verdict };
                }));
                const reading = readUntil(table, () => undecided === 0, seen);
                await scheduler.waitFor(Promise.all([verdicts, reading]));
                await scheduler.waitIdle();
                assert.equal(oracle.violations, []);
                checkVerdicts(await verdicts);
                seen.forEach(({ revision, workspaces }) =>
                    assert.is(serialize(workspaces), oracle.states.get(revision))
                );
                for (const { ticket, verdict } of await verdicts) {
                    const again = await submitTicket(makeReliableTable(fake), ticket, undefined, maxKeptTickets);
                    assert.ok(again.kind === "tooOld" || verdict.kind !== "accepted" || areEqual(again, verdict));
                    assert.ok(
                        again.kind !== "accepted" || verdict.kind === "accepted",
                        "a refused ticket was accepted later",
                    );
                }
                const kept = fake.list(ticketPartition).map(row => TicketRow.parse(row.body));
                assert.is(new Set(kept.map(row => row.revision)).size, kept.length);
            },
        ),
        { seed, numRuns: runs, endOnFailure: process.env.FUZZ_SHRINK === undefined },
    );
});

test.run();
