/**
 * Converts between what a process knows of quarantines and the message to its peers, of which those of earlier builds accept
 * only short prompts.
 */
import { type QuarantineContent } from "@rattanquay/core";
import { type CrashReport, earlierPromptBounds, type QuarantineNews, type QuarantineRecord } from "@rattanquay/schema";

type Sender = Pick<QuarantineNews, "instance" | "availabilityZone">;

/** How many segments of a long prompt earlier builds use. */
const earlierSegments = 16;

/** Returns undefined if there is nothing to say. */
export function toQuarantineNews(
    { crashes, sound, quarantines }: QuarantineContent,
    { instance, availabilityZone }: Sender,
): QuarantineNews | undefined {
    if (crashes.length + sound.length + quarantines.length === 0) {
        return undefined;
    }
    const long = { crashes: crashes.filter(isLongCrash), quarantines: quarantines.filter(isLongQuarantine) };
    return {
        kind: "quarantineNews",
        instance,
        availabilityZone,
        crashes: crashes.map(report => isLongCrash(report) ? shorten(report) : report),
        sound,
        quarantines: quarantines.filter(record => !isLongQuarantine(record)),
        ...long.crashes.length + long.quarantines.length === 0 ? {} : { long },
    };
}

export function readQuarantineNews({ crashes, sound, quarantines, long }: QuarantineNews): QuarantineContent {
    const longCrashes = long?.crashes ?? [];
    const isWhole = (report: CrashReport): boolean => longCrashes.every(({ crash }) => crash !== report.crash);
    return {
        crashes: [...crashes.filter(isWhole), ...longCrashes],
        sound,
        quarantines: [...quarantines, ...long?.quarantines ?? []],
    };
}

function isLongCrash({ prompts, cleared }: CrashReport): boolean {
    return prompts.length > earlierPromptBounds.prompts
        || cleared.length > earlierPromptBounds.cleared
        || prompts.some(({ segments }) => segments.length > earlierPromptBounds.segments);
}

function isLongQuarantine({ segments }: QuarantineRecord): boolean {
    return segments.length > earlierPromptBounds.segments;
}

function shorten(report: CrashReport): CrashReport {
    return {
        ...report,
        prompts: report.prompts.slice(0, earlierPromptBounds.prompts).map(({ workspace, segments }) => ({
            workspace,
            segments: segments.slice(0, earlierSegments),
        })),
        cleared: report.cleared.slice(0, earlierPromptBounds.cleared),
    };
}
