/**
 * Writes log lines faster than standard output is read, and reports as JSON on standard error the longest pause of the
 * event loop, the most bytes buffered and the number of dropped lines.
 */
import { makeStreamLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";

const runMs = 1_500;
const writeIntervalMs = 10;
const linesPerLevel = 200;

// Keeps the process alive: the timers do not.
process.stdin.resume();

let dropped = 0;
const log = makeStreamLog({
    stream: process.stdout,
    instance: "flood",
    availabilityZone: "a",
    timer: systemTimer,
    onDropped: count => {
        dropped += count;
    },
});
const startedAtMs = systemTimer.nowMs();
let lastTickMs = startedAtMs;
let longestPauseMs = 0;
let maxBufferedBytes = 0;
systemTimer.every(writeIntervalMs, () => {
    const nowMs = systemTimer.nowMs();
    longestPauseMs = Math.max(longestPauseMs, nowMs - lastTickMs);
    lastTickMs = nowMs;
    for (let line = 0; line < linesPerLevel; line++) {
        (["error", "warn", "info"] as const).forEach(level => log[level]("flood", { text: "x".repeat(2_000) }));
    }
    maxBufferedBytes = Math.max(maxBufferedBytes, process.stdout.writableLength);
    if (nowMs - startedAtMs > runMs) {
        process.stderr.write(JSON.stringify({ longestPauseMs, maxBufferedBytes, dropped }), () => process.exit(0));
    }
});
