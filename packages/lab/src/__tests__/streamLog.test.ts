/**
 * Guards against a log reader that stops reading standard output: the process must neither block on the full pipe nor
 * buffer log lines without bound.
 */
import { systemTimer } from "@rattanquay/timer";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

type FloodReport = { readonly longestPauseMs: number; readonly maxBufferedBytes: number; readonly dropped: number };

/** The limit of the log buffer, plus one line of each level that may exceed it. */
const maxBufferedBytes = 262_144 + 3 * 2_300;
/** A process that blocks on its reader would pause until the end of the test. */
const maxPauseMs = 1_000;
const killAfterMs = 20_000;

test("a log whose reader has stopped drops lines, and the process keeps running", async () => {
    const program = fileURLToPath(new URL("floodLog.ts", import.meta.url));
    const child = spawn(process.execPath, ["--import", "tsx", program], { stdio: "pipe" });
    child.stdout.pause();
    let report = "";
    child.stderr.on("data", (bytes: Buffer) => report += bytes.toString());
    const cancelKill = systemTimer.after(killAfterMs, () => child.kill("SIGKILL"));
    const [[code]] = await Promise.all([once(child, "exit"), once(child.stderr, "end")]);
    cancelKill();
    assert.is(code, 0);
    const { longestPauseMs: pauseMs, maxBufferedBytes: bufferedBytes, dropped } = JSON.parse(report) as FloodReport;
    assert.ok(pauseMs < maxPauseMs, `the event loop paused for ${pauseMs} ms`);
    assert.ok(bufferedBytes <= maxBufferedBytes, `${bufferedBytes} bytes were buffered`);
    assert.ok(dropped > 0);
});

test.run();
