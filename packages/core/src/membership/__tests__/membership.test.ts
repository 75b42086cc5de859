/** Membership and evidence in virtual time, with lost, late, repeated and reordered messages, pauses and restarts. */
import { type EvidenceUpdate, type ServerInfo } from "@rattanquay/schema";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    advanceMembership,
    chooseByRendezvous,
    decodeSnapshot,
    earliestSendTimeMs,
    emptyMembership,
    emptySnapshot,
    encodeSnapshot,
    makeEvidenceChangeTracker,
    makeEvidenceStore,
    type Membership,
    newerSnapshot,
    noteHeartbeat,
    noteLinked,
    selectPeers,
} from "../../index";

const seed = 6;
const limits = { heartbeatMs: 250, suspectAfterMs: 750, deadAfterMs: 2_000, forgetAfterMs: 60_000 };
const identityOf = (process: string, startId: string) => ({
    process,
    startId,
    availabilityZone: "zone-a",
    peerAddress: `${process}:1`,
    callerAddress: `${process}:2`,
});
const heartbeatOf = (process: string, startId: string, sequence: number, revision = 1) => ({
    process,
    startId,
    sequence,
    revision,
    ready: true,
    hearsUs: true,
});

type Step =
    | { readonly kind: "link"; readonly process: number; readonly start: number }
    | {
        readonly kind: "heartbeat";
        readonly process: number;
        readonly start: number;
        readonly sequence: number;
        readonly revision: number;
    }
    | { readonly kind: "pass"; readonly ms: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("link" as const), process: fc.nat(2), start: fc.nat(2) }),
    fc.record({
        kind: fc.constant("heartbeat" as const),
        process: fc.nat(2),
        start: fc.nat(2),
        sequence: fc.integer({ min: 1, max: 30 }),
        revision: fc.nat(20),
    }),
    fc.record({ kind: fc.constant("pass" as const), ms: fc.integer({ min: 1, max: 400 }) }),
);

/** Expected state of a peer, from the newest heartbeat of the start that linked last and the time since. */
type Expected = { start: number; heardMs: number; sequence: number; revision: number; dead: boolean };

test("membership agrees with the oracle under lost, late, repeated and reordered heartbeats and restarts", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 120, size: "max" }), steps => {
            const expected = new Map<string, Expected>();
            let membership: Membership = emptyMembership;
            let nowMs = 0;
            const handlers: { readonly [K in Step["kind"]]: (step: Extract<Step, { kind: K }>) => void } = {
                link: ({ process, start }) => {
                    membership = noteLinked(membership, identityOf(`p${process}`, `s${start}`), nowMs);
                    const known = expected.get(`p${process}`);
                    expected.set(
                        `p${process}`,
                        known?.start === start
                            ? { ...known, heardMs: nowMs, sequence: 0, dead: false }
                            : { start, heardMs: nowMs, sequence: 0, revision: 0, dead: false },
                    );
                },
                heartbeat: ({ process, start, sequence, revision }) => {
                    membership = noteHeartbeat(
                        membership,
                        heartbeatOf(`p${process}`, `s${start}`, sequence, revision),
                        nowMs,
                    );
                    const known = expected.get(`p${process}`);
                    if (known?.start === start && sequence > known.sequence) {
                        const greatest = Math.max(known.revision, revision);
                        expected.set(`p${process}`, {
                            start,
                            heardMs: nowMs,
                            sequence,
                            revision: greatest,
                            dead: false,
                        });
                    }
                },
                pass: ({ ms }) => {
                    nowMs += ms;
                    membership = advanceMembership(membership, nowMs, limits);
                    expected.forEach(known => {
                        known.dead ||= nowMs - known.heardMs >= limits.deadAfterMs;
                    });
                },
            };
            for (const step of steps) {
                (handlers[step.kind] as (step: Step) => void)(step);
                for (const [process, known] of expected) {
                    const member = membership.members.get(process)!;
                    assert.is(member.startId, `s${known.start}`);
                    assert.is(member.revision, known.revision);
                    assert.is(member.state === "dead", known.dead);
                    assert.ok(member.state !== "suspect" || nowMs - known.heardMs >= limits.suspectAfterMs);
                }
            }
        }),
        { seed, numRuns: 500 },
    );
});

test("a pause of the local process does not count as silence of its peers", () => {
    let membership = noteLinked(emptyMembership, identityOf("p", "s"), 0);
    membership = advanceMembership(membership, 250, limits);
    membership = advanceMembership(membership, 30_250, limits);
    assert.is(membership.members.get("p")?.state, "alive");
    for (let nowMs = 30_500; nowMs <= 33_000; nowMs += 250) {
        membership = advanceMembership(membership, nowMs, limits);
    }
    assert.is(membership.members.get("p")?.state, "dead");
});

const infoOf = (instance: string, bootId: string, running = 0): ServerInfo => ({
    instance,
    bootId,
    status: "ready",
    group: "g",
    fence: 1,
    cachedWeights: [],
    load: { running, waiting: 0, ageMs: 0 },
});

/**
 * A prober and a receiver with different clocks, and a link that delays messages. `truth` has the real time of each report;
 * the receiver must never treat evidence as more recent than that.
 */
const exchangeArbitrary = fc.array(
    fc.record({
        passMs: fc.integer({ min: 1, max: 300 }),
        probe: fc.option(fc.nat(3), { nil: undefined }),
        restart: fc.boolean(),
        heartbeatFromReceiver: fc.boolean(),
        heartbeatFromProber: fc.boolean(),
        delayToProberMs: fc.nat(800),
        delayToReceiverMs: fc.nat(800),
    }),
    { maxLength: 80, size: "max" },
);

type Arrival = { readonly atMs: number; readonly arrive: (nowMs: number) => void };

test("shared evidence is never treated as more recent than it is, whatever the delays and clock differences", () => {
    fc.assert(
        fc.property(exchangeArbitrary, fc.integer({ min: -100_000, max: 100_000 }), (steps, clockDifferenceMs) => {
            const toProberClock = (nowMs: number): number => nowMs + clockDifferenceMs;
            const findings = new Map<string, { info: ServerInfo; sentAtMs: number; identity: string }>();
            const truth = new Map<string, number>();
            const ledger = makeEvidenceChangeTracker({ maxAgeMs: 500 });
            const book = makeEvidenceStore();
            const sentAtBySequence = new Map<number, number>();
            const boots = [0, 0, 0, 0];
            let inTransit: Arrival[] = [];
            let heard: { sequence: number; atMs: number } | undefined;
            let sequence = 0;
            let nowMs = 0;
            for (const step of steps) {
                nowMs += step.passMs;
                // TCP keeps the order, so a later message never arrives before an earlier one.
                const due = inTransit.filter(arrival => arrival.atMs <= nowMs);
                inTransit = inTransit.filter(arrival => arrival.atMs > nowMs);
                due.forEach(arrival => arrival.arrive(nowMs));
                if (step.probe !== undefined) {
                    boots[step.probe]! += step.restart ? 1 : 0;
                    const info = infoOf(`i${step.probe}`, `b${boots[step.probe]}`, step.passMs);
                    const identity = JSON.stringify({ ...info, load: undefined });
                    findings.set(info.instance, { info, identity, sentAtMs: toProberClock(nowMs) });
                    truth.set(`${info.instance}/${info.bootId}`, nowMs);
                }
                if (step.heartbeatFromReceiver) {
                    const sent = ++sequence;
                    sentAtBySequence.set(sent, nowMs);
                    const atMs = Math.max(nowMs + step.delayToProberMs, ...inTransit.map(arrival => arrival.atMs));
                    inTransit.push({ atMs, arrive: at => heard = { sequence: sent, atMs: toProberClock(at) } });
                }
                if (step.heartbeatFromProber) {
                    const echo = heard === undefined
                        ? undefined
                        : { sequence: heard.sequence, heldMs: Math.floor(toProberClock(nowMs) - heard.atMs) };
                    const news = ledger.next(findings, toProberClock(nowMs));
                    const atMs = Math.max(nowMs + step.delayToReceiverMs, ...inTransit.map(arrival => arrival.atMs));
                    inTransit.push({
                        atMs,
                        arrive: at => applyUpdate(book, news, earliestSendTimeMs(echo, sentAtBySequence, at)),
                    });
                }
                for (const [instance, evidence] of book.best()) {
                    const lastTrueMs = truth.get(`${instance}/${evidence.info.bootId}`)!;
                    assert.ok(evidence.sentAtMs <= lastTrueMs, `${instance}: ${evidence.sentAtMs} > ${lastTrueMs}`);
                }
            }
        }),
        { seed, numRuns: 500 },
    );
});

function applyUpdate(
    book: ReturnType<typeof makeEvidenceStore>,
    news: EvidenceUpdate | undefined,
    sentAtMs: number | undefined,
) {
    if (news !== undefined) {
        book.applyPeerUpdate("prober", news, sentAtMs ?? -Infinity);
    }
}

test("updates over a stable link keep all probed evidence fresh and contain only changes", () => {
    const ledger = makeEvidenceChangeTracker({ maxAgeMs: 500 });
    const book = makeEvidenceStore();
    const finding = (instance: string, sentAtMs: number) => ({
        info: infoOf(instance, "b"),
        sentAtMs,
        identity: "same",
    });
    for (let nowMs = 1_000; nowMs <= 5_000; nowMs += 250) {
        const news = ledger.next(new Map([["a", finding("a", nowMs - 200)], ["b", finding("b", nowMs - 50)]]), nowMs)!;
        assert.is(news.changes.length, nowMs === 1_000 ? 2 : 0);
        book.applyPeerUpdate("p", news, nowMs);
        assert.equal([...book.best().values()].map(evidence => evidence.sentAtMs), [nowMs - 200, nowMs - 200]);
    }
    const lapsed = ledger.next(new Map([["a", finding("a", 5_900)], ["b", finding("b", 4_950)]]), 6_000)!;
    assert.is(lapsed.lapsed.length, 1);
    book.applyPeerUpdate("p", lapsed, 6_000);
    assert.equal([...book.best().keys()], ["a"]);
});

const hash = (text: string): number =>
    [...text].reduce((sum, letter) => Math.imul(sum ^ letter.charCodeAt(0), 16777619), 2166136261) >>> 0;

test("every process chooses the same probers, and losing one reassigns only its share", () => {
    const probers = ["a", "b", "c", "d", "e"];
    for (let index = 0; index < 200; index++) {
        const before = chooseByRendezvous(`i${index}`, probers, 2, hash);
        const after = chooseByRendezvous(`i${index}`, probers.filter(prober => prober !== "c"), 2, hash);
        assert.equal(after.filter(prober => before.includes(prober)).length, before.includes("c") ? 1 : 2);
    }
});

test("links go to the whole own zone and a few peers of each other zone, with unreachable ones replaced", () => {
    const place = (process: string, availabilityZone: string) => ({
        process,
        availabilityZone,
        peerAddress: `${process}:1`,
        callerAddress: `${process}:2`,
    });
    const places = ["a0", "a1", "a2", "b0", "b1", "b2", "c0"].map(name => place(name, `zone-${name[0]}`));
    const options = {
        process: "a0",
        availabilityZone: "zone-a",
        linksPerOtherZone: 1,
        hash,
        unreachable: new Set<string>(),
    };
    const chosen = selectPeers(places, options).map(({ process }) => process);
    assert.equal(chosen.filter(name => name.startsWith("a")), ["a1", "a2"]);
    assert.is(chosen.filter(name => name.startsWith("b")).length, 1);
    const firstOfB = chosen.find(name => name.startsWith("b"))!;
    const without = selectPeers(places, { ...options, unreachable: new Set([firstOfB]) }).map(({ process }) => process);
    assert.not(without.includes(firstOfB));
});

test("a configuration from a peer is used only when it is newer", () => {
    const newer = { ...emptySnapshot, revision: 7, highestTicket: 9 };
    const passed = decodeSnapshot(encodeSnapshot(newer));
    assert.equal(passed, newer);
    assert.is(newerSnapshot(passed, emptySnapshot).revision, 7);
    assert.is(newerSnapshot(emptySnapshot, passed).revision, 7);
});

test.run();
