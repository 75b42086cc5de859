/** Remembers the version of a configuration that this process can't read, so that its copies are requested seldom. */
import { type Timer } from "@rattanquay/timer";

export type UnreadableVersion = {
    readonly note: (version: number) => void;
    /** The newest unreadable version; 0 if there is none or it is due to be requested again. */
    readonly current: () => number;
};

/** A relay of another build may replace the one whose copy could not be read. */
const requestAgainMs = 5_000;

export function makeUnreadableVersion(timer: Timer): UnreadableVersion {
    let newest = 0;
    let notedAtMs = -Infinity;
    return {
        note: version => {
            newest = Math.max(newest, version);
            notedAtMs = timer.nowMs();
        },
        current: () => timer.nowMs() - notedAtMs < requestAgainMs ? newest : 0,
    };
}
