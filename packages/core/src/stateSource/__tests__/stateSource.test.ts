/** Which instances follow the store, and when an instance stops relying on relays, in virtual time. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeStateSource, type RelayNotice, type StateSource } from "../index";

const stepMs = 200;
const zone = ["e1", "e2", "e3", "e4", "e5"].map(instance => ({ instance, cores: instance === "e5" ? 2 : 0.5 }));

type Notices = (instance: string, nowMs: number) => Partial<RelayNotice> | undefined;

const current = { isCurrent: true, isLeaving: false };

function makeInstance(self: string, candidates = zone): StateSource {
    const source = makeStateSource(self);
    source.setCandidates(candidates);
    return source;
}

/** Advances in steps; each chosen relay sends the notice that `notices` returns, if any. */
function play(source: StateSource, fromMs: number, untilMs: number, notices: Notices): readonly boolean[] {
    const readsStore: boolean[] = [];
    for (let nowMs = fromMs; nowMs < untilMs; nowMs += stepMs) {
        for (const instance of source.chooseRelays(nowMs)) {
            const notice = notices(instance, nowMs);
            if (notice !== undefined) {
                source.noteNotice({ instance, ...current, ...notice }, nowMs);
            }
        }
        readsStore.push(source.mustReadStore(nowMs));
    }
    return readsStore;
}

const always: Notices = () => current;

test("the two instances with the most processor are relays, the name decides among equal ones", () => {
    const relays = zone.filter(({ instance }) => makeInstance(instance).chooseRelays(0).length === 0);
    assert.equal(relays.map(({ instance }) => instance), ["e1", "e5"]);
    assert.equal([...makeInstance("e3").chooseRelays(0)].sort(), ["e1", "e5"]);
});

test("each relay is preferred by about half of the other instances", () => {
    const many = Array.from({ length: 40 }, (unused, index) => ({ instance: `e${index}`, cores: index < 2 ? 2 : 0.5 }));
    const preferred = many.flatMap(({ instance }) => makeInstance(instance, many).chooseRelays(0).slice(0, 1));
    assert.is(preferred.length, 38);
    assert.is(preferred.filter(instance => instance === "e0").length, 19);
});

test("an instance reads the store until both relays have confirmed its state for a while, and then no longer", () => {
    const readsStore = play(makeInstance("e3"), 0, 6_000, always);
    assert.is(readsStore[0], true);
    assert.is(readsStore.at(-1), false);
});

const failures: readonly { name: string; notices: Notices; isReading: boolean; relays: readonly string[] }[] = [
    {
        name: "one relay falls silent: another takes its place",
        notices: instance => instance === "e5" ? undefined : current,
        isReading: false,
        relays: ["e1", "e2"],
    },
    {
        name: "one relay is cut off from the store: the other confirms",
        notices: instance => ({ isCurrent: instance !== "e5" }),
        isReading: false,
        relays: ["e5", "e1"],
    },
    {
        name: "both relays are cut off from the store",
        notices: () => ({ isCurrent: false }),
        isReading: true,
        relays: ["e5", "e1"],
    },
    { name: "nobody sends anything", notices: () => undefined, isReading: true, relays: [] },
    {
        name: "a relay shuts down",
        notices: instance => ({ isLeaving: instance === "e1" }),
        isReading: false,
        relays: ["e5", "e2"],
    },
];

for (const { name, notices, isReading, relays } of failures) {
    test(`after a failure: ${name}`, () => {
        const source = makeInstance("e4");
        play(source, 0, 6_000, always);
        const readsStore = play(source, 6_000, 9_000, notices);
        assert.is(readsStore.at(-1), isReading);
        assert.equal([...source.chooseRelays(9_000)].sort(), [...relays].sort());
    });
}

test("without any notice the store is read again within 1.4 s", () => {
    const source = makeInstance("e4");
    play(source, 0, 6_000, always);
    const readsStore = play(source, 6_000, 7_400, () => undefined);
    assert.is(readsStore.at(-1), true);
});

test("the store is read at once when neither relay is current any longer", () => {
    const source = makeInstance("e4");
    play(source, 0, 6_000, always);
    assert.equal(play(source, 6_000, 6_400, () => ({ isCurrent: false })), [true, true]);
});

test("with fewer than two relays beside it an instance reads the store itself", () => {
    for (const size of [1, 2]) {
        const source = makeInstance("e1", zone.slice(0, size));
        assert.is(play(source, 0, 6_000, always).at(-1), true);
    }
    const third = makeInstance("e3", zone.slice(0, 3));
    const onlyFirst: Notices = instance => instance === "e1" ? current : undefined;
    play(third, 0, 6_000, always);
    assert.is(play(third, 6_000, 9_000, onlyFirst).at(-1), true);
});

test("an instance that others subscribe to reads the store until their subscriptions end", () => {
    const source = makeInstance("e4");
    play(source, 0, 6_000, always);
    source.noteSubscriber(6_000);
    const readsStore = play(source, 6_000, 12_000, always);
    assert.is(readsStore[0], true);
    assert.is(readsStore.at(-1), false);
});

test.run();
