/** A configuration that takes longer to arrive from a peer than a peer may be without a heartbeat. */
import { type Entry, startEntry } from "@rattanquay/entry";
import { silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, settingsFor, waitUntil } from "../cluster";
import { freePort } from "../cluster/freePort";
import { startSlowLink } from "../link";
import { startPlatform } from "../platform";
import { addedKey, credentials, declareFirst, enlarge, firstKey, listModels, tableAt } from "./manyWorkspaces";

/** The configuration takes longer than the two seconds without a heartbeat after which a peer counts as dead. */
const bytesPerSecond = 100_000;
const applyMs = 15_000;
const pollMs = 50;

/** `peerPort` is the port that the entry listens on, and `advertisedPort` that by which peers reach it. */
type EntryParameters = {
    readonly platformPort: number;
    readonly id: string;
    readonly seeds?: readonly string[];
    readonly peerPort?: number;
    readonly advertisedPort?: number;
};

function startTestEntry(parameters: EntryParameters): Promise<Entry> {
    const { platformPort, id, seeds = [], peerPort = 0, advertisedPort } = parameters;
    const ports = { callers: 0, operators: 0, peers: peerPort };
    const settings = settingsFor(defaultSpec, { id, availabilityZone: "zone-a", platformPort, ports, seeds });
    const { listeners } = settings;
    return startEntry({
        settings: { ...settings, listeners: { ...listeners, peers: { ...listeners.peers, advertisedPort } } },
        timer: systemTimer,
        log: silentLog,
        random: Math.random,
        credentials,
        onFatalError: (task, error) => {
            throw new Error(`broken invariant in ${task}`, { cause: error });
        },
    });
}

test("DENIED: callers get 401 for a key of a configuration that never arrives, as its link to a peer is closed meanwhile", async () => {
    const platform = await startPlatform();
    const downPlatform = await startPlatform();
    downPlatform.setFault({ down: true });
    const table = tableAt(`127.0.0.1:${platform.port}`);
    await declareFirst(table);
    const peerPort = await freePort();
    const link = await startSlowLink(`127.0.0.1:${peerPort}`, bytesPerSecond);
    const advertisedPort = Number(link.address.split(":")[1]);
    const reader = await startTestEntry({ platformPort: platform.port, id: "entry-0", peerPort, advertisedPort });
    const follower = await startTestEntry({
        platformPort: downPlatform.port,
        id: "entry-1",
        seeds: [link.address],
        // Nothing listens there: the reader cannot dial the follower around the slow link.
        advertisedPort: await freePort(),
    });
    const statusOf = ({ callerPort }: Entry, key: string): Promise<number> => listModels(callerPort, key);
    try {
        await waitUntil(
            "the first configuration to be in force",
            applyMs,
            async () => await statusOf(follower, firstKey) === 200,
        );
        await enlarge(table);
        await waitUntil("the reader to have the key", applyMs, async () => await statusOf(reader, addedKey) === 200);
        const deadlineMs = systemTimer.nowMs() + applyMs;
        while (await statusOf(follower, addedKey) !== 200 && systemTimer.nowMs() < deadlineMs) {
            await sleep(systemTimer, pollMs);
        }
        assert.is(await statusOf(follower, addedKey), 200);
    }
    finally {
        await Promise.all([reader.stop(), follower.stop()]);
        table.stop();
        link.close();
        platform.kill();
        downPlatform.kill();
    }
});

test.run();
