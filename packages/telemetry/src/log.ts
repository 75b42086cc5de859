/** Structured logging: one JSON line per event. */
import { createLogger, format, transports } from "winston";

type Fields = Readonly<Record<string, unknown>>;

/** `event` is a stable name in camelCase, listed in docs/reference/log-events.md; `fields` are its data. */
export type Log = {
    readonly error: (event: string, fields?: Fields) => void;
    readonly warn: (event: string, fields?: Fields) => void;
    readonly info: (event: string, fields?: Fields) => void;
    readonly debug: (event: string, fields?: Fields) => void;
};

type Options = { readonly level: string; readonly process: string; readonly availabilityZone: string };

/** Logs to standard error, which keeps standard output free for a command's results. */
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

const doNothing = (): void => undefined;

/** Discards all events; for tests and test doubles. */
export const silentLog: Log = { error: doNothing, warn: doNothing, info: doNothing, debug: doNothing };
