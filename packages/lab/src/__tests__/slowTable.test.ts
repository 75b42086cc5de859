/** A configuration that takes longer to arrive from the platform's table than one call may wait without an answer. */
import { type Entry, startEntry, submitTicket } from "@rattanquay/entry";
import { Settings } from "@rattanquay/schema";
import { type Table } from "@rattanquay/table";
import { silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, settingsFor, waitUntil } from "../cluster";
import { type SlowLink, startSlowLink } from "../link";
import { type PlatformStandIn, startPlatform } from "../platform";
import {
    addedKey,
    credentials,
    declareFirst,
    enlarge,
    firstKey,
    keyHash,
    listModels,
    tableAt,
    ticketOf,
    workspaces,
} from "./manyWorkspaces";

/** The configuration takes about three seconds, three times as long as a call may wait for its first byte. */
const bytesPerSecond = 300_000;
const applyMs = 9_000;
const changeEveryMs = 200;
const pollMs = 50;

function startSlowEntry({ port }: PlatformStandIn, link: SlowLink): Promise<Entry> {
    const parameters = {
        id: "entry-0",
        availabilityZone: "zone-a",
        platformPort: port,
        ports: { callers: 0, operators: 0, peers: 0 },
    };
    const settings = settingsFor(defaultSpec, parameters);
    return startEntry({
        settings: Settings.parse({
            ...settings,
            platform: { ...settings.platform, tableEndpoint: `http://${link.address}` },
        }),
        timer: systemTimer,
        log: silentLog,
        random: Math.random,
        credentials,
        onFatalError: (task, error) => {
            throw new Error(`broken invariant in ${task}`, { cause: error });
        },
    });
}

/** Submits a ticket that changes one of the many workspaces again and again. */
function startChanges(table: Table, lastTicket: number): { readonly stop: () => Promise<void> } {
    let isRunning = true;
    const run = async (): Promise<void> => {
        for (let ticket = lastTicket + 1; isRunning; ticket++) {
            const change = ticketOf(ticket, { [`workspace-${ticket}`]: keyHash(workspaces + ticket) });
            assert.is((await submitTicket(table, change)).kind, "accepted");
            await sleep(systemTimer, changeEveryMs);
        }
    };
    const running = run();
    return {
        stop: () => {
            isRunning = false;
            return running;
        },
    };
}

const cases = [
    { name: "in one page", pageBytes: 16_777_216, changes: false },
    { name: "in pages", pageBytes: 131_072, changes: false },
    { name: "in pages, while tickets are accepted", pageBytes: 131_072, changes: true },
];
for (const { name, pageBytes, changes } of cases) {
    test(`DENIED: callers get 401 for a key of a configuration that never arrives, as its read starts over; ${name}`, async () => {
        const platform = await startPlatform({ pageBytes });
        const direct = tableAt(`127.0.0.1:${platform.port}`);
        await declareFirst(direct);
        const link = await startSlowLink(`127.0.0.1:${platform.port}`, bytesPerSecond);
        const entry = await startSlowEntry(platform, link);
        const statusOf = (key: string): Promise<number> => listModels(entry.callerPort, key);
        let changing: { readonly stop: () => Promise<void> } | undefined;
        try {
            await waitUntil(
                "the first configuration to be in force",
                applyMs,
                async () => await statusOf(firstKey) === 200,
            );
            const lastTicket = await enlarge(direct);
            changing = changes ? startChanges(direct, lastTicket) : undefined;
            const deadlineMs = systemTimer.nowMs() + applyMs;
            while (await statusOf(addedKey) !== 200 && systemTimer.nowMs() < deadlineMs) {
                await sleep(systemTimer, pollMs);
            }
            assert.is(await statusOf(addedKey), 200);
        }
        finally {
            await changing?.stop();
            await entry.stop();
            direct.stop();
            link.close();
            platform.kill();
        }
    });
}

test.run();
