/**
 * A log on a stream that never holds the process up: one JSON line an event, bounded in rate and in what waits to go out.
 *
 * What is left out is counted, and the count is told in a line of its own as soon as there is room.
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
    /** Told how many lines were left out. */
    readonly onDropped: (count: number) => void;
};

type Level = keyof Log;

/** Lines a second, by level; what is rare and grave has room of its own. */
const linesPerSecond: Readonly<Record<Level, number>> = { error: 50, warn: 100, info: 250, debug: 50 };
/** A reader that is further behind than this loses lines. */
const maxWaitingBytes = 262_144;
const periodMs = 1_000;

export function makeStreamLog({ stream, instance, availabilityZone, timer, onDropped }: StreamLogOptions): Log {
    const left: Record<Level, number> = { ...linesPerSecond };
    let dropped = 0;
    const logger = createLogger({
        level: "info",
        defaultMeta: { instance, availabilityZone },
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Stream({ stream: passTo(stream) })],
    });
    const write = (level: Level) => (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
        if (left[level] <= 0 || stream.writableLength > maxWaitingBytes) {
            dropped++;
            return;
        }
        left[level]--;
        logger.log({ ...fields, level, message: event });
    };
    const log: Log = { error: write("error"), warn: write("warn"), info: write("info"), debug: write("debug") };
    timer.every(periodMs, () => {
        Object.assign(left, linesPerSecond);
        if (dropped > 0) {
            const count = dropped;
            dropped = 0;
            onDropped(count);
            log.warn("logLinesDropped", { count });
        }
    });
    return log;
}

/** Keeps winston from waiting for the stream: the bound on what waits is kept before a line is made. */
function passTo(stream: Writable): Writable {
    return new Writable({
        write: (chunk, encoding, done) => {
            stream.write(chunk);
            done();
        },
    });
}
