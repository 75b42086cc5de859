/**
 * Logs one JSON line per event to a stream without blocking the process. The rate of lines and the bytes buffered in
 * the stream are limited.
 *
 * Dropped lines are counted; once a second the count, if any, goes to `onDropped` and into a line of its own.
 */
import { type Timer } from "@rattanquay/timer";
import { Writable } from "node:stream";
import { createLogger, format, transports } from "winston";
import { type Log } from "./log";

export type StreamLogOptions = {
    readonly stream: Writable;
    readonly instance: string;
    readonly availabilityZone: string;
    readonly timer: Timer;
    /** Called with the number of lines dropped since the last call. */
    readonly onDropped: (count: number) => void;
};

type Level = keyof Log;

/** Each level has its own quota, so that frequent lines cannot crowd out rare errors. */
const maxLinesPerSecond: Readonly<Record<Level, number>> = { error: 50, warn: 100, info: 250, debug: 50 };
/** Lines are dropped while the stream has more than this buffered because its reader is slow. */
const maxBufferedBytes = 262_144;
const quotaPeriodMs = 1_000;

export function makeStreamLog({ stream, instance, availabilityZone, timer, onDropped }: StreamLogOptions): Log {
    const remainingLines: Record<Level, number> = { ...maxLinesPerSecond };
    let dropped = 0;
    const logger = createLogger({
        level: "info",
        defaultMeta: { instance, availabilityZone },
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Stream({ stream: forwardWithoutBackpressure(stream) })],
    });
    const write = (level: Level) => (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
        if (remainingLines[level] <= 0 || stream.writableLength > maxBufferedBytes) {
            dropped++;
            return;
        }
        remainingLines[level]--;
        logger.log({ ...fields, level, message: event });
    };
    const log: Log = { error: write("error"), warn: write("warn"), info: write("info"), debug: write("debug") };
    timer.every(quotaPeriodMs, () => {
        Object.assign(remainingLines, maxLinesPerSecond);
        if (dropped > 0) {
            const count = dropped;
            dropped = 0;
            onDropped(count);
            log.warn("logLinesDropped", { count });
        }
    });
    return log;
}

/** Hides the stream's backpressure from winston: the limit on buffered bytes is checked before a line is formatted. */
function forwardWithoutBackpressure(stream: Writable): Writable {
    return new Writable({
        write: (chunk, encoding, done) => {
            stream.write(chunk);
            done();
        },
    });
}
