/** Structured logs: one JSON line an event. */
import { createLogger, format, transports } from "winston";

type Fields = Readonly<Record<string, unknown>>;

/** `event` is a stable name in camelCase (see docs/reference/log-events.md); the rest is data. */
export type Log = {
    readonly error: (event: string, fields?: Fields) => void;
    readonly warn: (event: string, fields?: Fields) => void;
    readonly info: (event: string, fields?: Fields) => void;
    readonly debug: (event: string, fields?: Fields) => void;
};

type Options = { readonly level: string; readonly process: string; readonly availabilityZone: string };

/** Makes a log on standard error, so that a command's standard output stays its own. */
export function makeLog(options: Options): Log {
    const logger = createLogger({
        level: options.level,
        defaultMeta: { process: options.process, availabilityZone: options.availabilityZone },
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    const write = (level: string) => (event: string, fields: Fields = {}): void => {
        logger.log({ ...fields, level, message: event });
    };
    return { error: write("error"), warn: write("warn"), info: write("info"), debug: write("debug") };
}

const ignore = (): void => undefined;

/** A log that keeps nothing, for tests and stand-ins. */
export const silentLog: Log = { error: ignore, warn: ignore, info: ignore, debug: ignore };
