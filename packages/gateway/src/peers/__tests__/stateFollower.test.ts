/** When a process that follows relays requests state from them, and when it reads the store again, in virtual time. */
import { type GatewayAnswer, type GatewayInstance, type GatewayRequest, type StateNotice } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ClusterStateWatch, makeConfigurationAge } from "../../clusterState";
import { type GatewayContext } from "../../gatewayContext";
import { type Links } from "../links";
import { startStateFollower } from "../stateFollower";

const stepMs = 100;
const noticeEveryMs = 400;

/** Whether a relay announces a change, and whether it answers requests for the state. */
type RelayBehavior = { readonly announces: boolean; readonly answers: boolean };

/** A process "e3" that follows the relays "e1" and "e2" and already knows everything up to revision 10. */
function makeFollower(behaviors: Readonly<Record<string, RelayBehavior>>) {
    const timer = new VirtualTimer();
    let knownRevision = 10;
    let readsStore = true;
    const requested: string[] = [];
    const configurationAge = makeConfigurationAge();
    configurationAge.noteInForce(1, "peer", timer.nowMs());
    const peers = ["e1", "e2"].map((instance): GatewayInstance => ({
        instance,
        availabilityZone: "a",
        address: instance,
        cores: 2,
    }));
    const answer: GatewayAnswer = { kind: "clusterState", isWhole: false, records: [], removals: [], asOf: 20 };
    const links: Links = {
        ask: async (address: string, unused: GatewayRequest) => {
            requested.push(address);
            return behaviors[address]!.answers ? answer : undefined;
        },
        tell: () => undefined,
        stop: () => undefined,
    };
    const watch = {
        clusterState: {
            routes: () => ({ version: 1 }),
            configurationAge,
            hasCompleteList: () => true,
            asOf: () => knownRevision,
            evacuations: { newest: () => 0 },
            applyRecords: () => undefined,
            applyRemovals: () => undefined,
            advanceAsOf: (revision: number) => {
                knownRevision = revision;
            },
        },
        setActive: (isActive: boolean) => {
            readsStore = isActive;
        },
    } as unknown as ClusterStateWatch;
    const context = {
        settings: { instance: "e3", availabilityZone: "a", cores: 0.5 },
        timer,
        log: silentLog,
    } as unknown as GatewayContext;
    const directory = {
        peers: () => peers,
        all: () => peers,
        seeds: [],
        setSource: () => undefined,
        leave: async () => undefined,
        stop: () => undefined,
    };
    const follower = startStateFollower({ context, watch, directory, links, isPlanner: () => false });
    const run = async (ms: number, newestChange: (instance: string) => number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
            if (elapsedMs % noticeEveryMs === 0) {
                for (const { instance } of peers) {
                    const notice: StateNotice = {
                        kind: "stateNotice",
                        instance,
                        configVersion: 1,
                        newestChange: newestChange(instance),
                        newestEvacuation: 0,
                        isCurrent: true,
                        isLeaving: false,
                    };
                    follower.receiveNotice(notice);
                }
            }
            timer.advance(stepMs);
            await Promise.resolve();
            await Promise.resolve();
        }
    };
    return {
        run,
        requested,
        evidence: configurationAge.evidence,
        revision: () => knownRevision,
        readsStore: () => readsStore,
    };
}

const sound: RelayBehavior = { announces: true, answers: true };
const cases: readonly {
    name: string;
    relays: Readonly<Record<string, RelayBehavior>>;
    requested: readonly string[];
    isKnown: boolean;
    readsStore: boolean;
}[] = [
    {
        name: "both relays announce it",
        relays: { e1: sound, e2: sound },
        requested: ["e1"],
        isKnown: true,
        readsStore: false,
    },
    {
        name: "the preferred relay lags behind",
        relays: { e1: { announces: false, answers: true }, e2: sound },
        requested: ["e2"],
        isKnown: true,
        readsStore: false,
    },
    {
        name: "the preferred relay announces it and does not answer",
        relays: { e1: { announces: true, answers: false }, e2: sound },
        requested: ["e1", "e2"],
        isKnown: true,
        readsStore: false,
    },
    {
        name: "both announce it and none answers",
        relays: { e1: { announces: true, answers: false }, e2: { announces: true, answers: false } },
        requested: ["e1", "e2"],
        isKnown: false,
        readsStore: true,
    },
];

for (const { name, relays, requested, isKnown, readsStore } of cases) {
    test(`a change of the list: ${name}`, async () => {
        const follower = makeFollower(relays);
        await follower.run(4_000, () => 10);
        assert.is(follower.readsStore(), false);
        await follower.run(1_600, instance => relays[instance]!.announces ? 15 : 10);
        assert.equal([...new Set(follower.requested)], requested);
        assert.is(follower.revision() >= 15, isKnown);
        assert.is(follower.readsStore(), readsStore);
    });
}

test("CONFIG: notices of current relays confirm the configuration as of their arrival", async () => {
    const follower = makeFollower({ e1: sound, e2: sound });
    assert.is(follower.evidence()?.confirmedAtMs, undefined);
    await follower.run(noticeEveryMs, () => 10);
    const firstAtMs = follower.evidence()?.confirmedAtMs;
    await follower.run(2 * noticeEveryMs, () => 10);
    assert.is(follower.evidence()?.confirmedAtMs, firstAtMs! + 2 * noticeEveryMs);
});

test.run();
