import { parseArgs } from "node:util";

const callTimeoutMs = 5_000;

/** The faults that each kind of stand-in accepts. A fault replaces the previous one, and `{}` clears it. */
export const faultUsage = [
    "fault --port N[,N…] FAULT",
    '      engine    {"slowFactor":4,"cutStreams":true,"mute":true}',
    '      platform  {"down":true,"slowMs":500,"loseAnswers":0.2}',
    '      service   {"delayMs":500,"cut":"beforeRun"|"afterRun"}',
].join("\n  ");

/**
 * Sets a fault at the stand-in on each port. Resolves to 1 when one of them did not accept it, and to 2 on wrong usage.
 */
export async function runFault(args: readonly string[]): Promise<number> {
    const { values, positionals: [fault] } = parseArgs({
        args: [...args],
        options: { port: { type: "string" } },
        allowPositionals: true,
    });
    if (values.port === undefined || !isObject(fault)) {
        process.stderr.write(`Usage: rattanquay-lab ${faultUsage}\n`);
        return 2;
    }
    const ports = values.port.split(",");
    const accepted = await Promise.all(ports.map(port => setFault(port, fault)));
    ports.forEach((port, index) => process.stdout.write(`${port}: ${accepted[index] ? "accepted" : "not accepted"}\n`));
    return accepted.every(Boolean) ? 0 : 1;
}

function isObject(text: string | undefined): text is string {
    try {
        const value: unknown = JSON.parse(text ?? "");
        return typeof value === "object" && value !== null && !Array.isArray(value);
    }
    catch {
        return false;
    }
}

async function setFault(port: string, fault: string): Promise<boolean> {
    const url = `http://127.0.0.1:${port}/lab/fault`;
    try {
        const signal = AbortSignal.timeout(callTimeoutMs);
        return (await fetch(url, { method: "POST", body: fault, signal })).ok;
    }
    catch {
        return false;
    }
}
