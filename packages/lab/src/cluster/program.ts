/** Runs the rattanquay program to completion, as a user or a script does. */
import { spawn } from "node:child_process";
import { join } from "node:path";
import { operatorKey } from "./clusterSpec";
import { programsFolder } from "./programsFolder";

export type ProgramResult = { readonly code: number | null; readonly stdout: string; readonly stderr: string };

const runTimeoutMs = 30_000;

/** Runs one command with the lab's operator key in its environment; kills it after a timeout. */
export function runRattanquay(args: readonly string[]): Promise<ProgramResult> {
    const child = spawn(process.execPath, [join(programsFolder(), "rattanquay.cjs"), ...args], {
        stdio: ["ignore", "pipe", "pipe"],
        env: {
            ...process.env,
            RATTANQUAY_OPERATOR_KEY: operatorKey,
            AWS_ACCESS_KEY_ID: "lab",
            AWS_SECRET_ACCESS_KEY: "lab",
        },
        timeout: runTimeoutMs,
    });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", data => stdout += data);
    child.stderr.on("data", data => stderr += data);
    return new Promise(resolve => child.once("close", code => resolve({ code, stdout, stderr })));
}
