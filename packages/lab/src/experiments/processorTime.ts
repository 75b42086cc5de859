/** Reads the processor time that another process has used from `/proc`. */
import { readFileSync } from "node:fs";

/** `USER_HZ` of Linux. */
const ticksPerSecond = 100;
/** Positions of `utime` and `stime` among the fields after the command name. */
const userTicksField = 11;
const systemTicksField = 12;

/** Seconds of processor time, user and system together. */
export function processorSeconds(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTicksField]) + Number(fields[systemTicksField])) / ticksPerSecond;
}
