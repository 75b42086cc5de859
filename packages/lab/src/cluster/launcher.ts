/** Starts the cluster's programs as child processes and kills them at the end. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePort } from "./freePort";
import { programsFolder } from "./programsFolder";
import { waitUntil } from "./waitUntil";

export type ClusterProcess = { readonly name: string; readonly port: number; readonly child: ChildProcess };

/** A program to start, and the port and path that answer once it is up. */
export type ProgramStart = {
    readonly name: string;
    readonly program: string;
    readonly args: readonly string[];
    readonly probePort: number;
    readonly probePath: string;
};

export type Launcher = {
    /** The folder with the settings, journals and logs of the programs. */
    readonly folder: string;
    /** Starts a program; resolves once it answers its probe. */
    readonly start: (start: ProgramStart) => Promise<ChildProcess>;
    /** Starts a command of the lab program, on a free port unless one is given. */
    readonly startLab: (
        name: string,
        args: readonly string[],
        probePath: string,
        port?: number,
    ) => Promise<ClusterProcess>;
    readonly killAll: () => void;
};

const startTimeoutMs = 20_000;
const probeTimeoutMs = 1_000;
const environment = { AWS_ACCESS_KEY_ID: "lab", AWS_SECRET_ACCESS_KEY: "lab" };

export function makeLauncher(): Launcher {
    const folder = mkdtempSync(join(tmpdir(), "rattanquay-lab-"));
    mkdirSync(join(folder, "logs"));
    const children = new Set<ChildProcess>();
    const killChildren = (): void => children.forEach(child => child.kill("SIGKILL"));
    process.once("exit", killChildren);

    const start = async ({ name, program, args, probePort, probePath }: ProgramStart): Promise<ChildProcess> => {
        const log = openSync(join(folder, "logs", `${name}.log`), "a");
        const child = spawn(process.execPath, [join(programsFolder(), program), ...args], {
            stdio: ["ignore", log, log],
            env: { ...process.env, ...environment },
        });
        closeSync(log);
        children.add(child);
        child.once("exit", () => children.delete(child));
        await waitUntil(`${name} to listen`, startTimeoutMs, () => isUp(probePort, probePath));
        return child;
    };

    return {
        folder,
        start,
        startLab: async (name, args, probePath, fixedPort) => {
            const port = fixedPort ?? await freePort();
            const withPort = [...args, "--port", String(port)];
            const child = await start({
                name,
                program: "rattanquay-lab.cjs",
                args: withPort,
                probePort: port,
                probePath,
            });
            return { name, port, child };
        },
        killAll: () => {
            killChildren();
            process.off("exit", killChildren);
        },
    };
}

async function isUp(port: number, path: string): Promise<boolean> {
    try {
        const response = await fetch(`http://127.0.0.1:${port}${path}`, {
            signal: AbortSignal.timeout(probeTimeoutMs),
        });
        await response.text();
        return true;
    }
    catch {
        return false;
    }
}
