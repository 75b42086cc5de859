/** Executions as lines of JSON on disk, so that those of a killed upstream can still be read. */
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { Execution } from "./history";

export function appendExecution(file: string | undefined, execution: Execution): void {
    if (file !== undefined) {
        appendFileSync(file, `${JSON.stringify(execution)}\n`);
    }
}

export function readExecutions(files: readonly string[]): readonly Execution[] {
    return files.filter(file => existsSync(file)).flatMap(file =>
        readFileSync(file, "utf8").split("\n").filter(line => line !== "").map(line =>
            Execution.parse(JSON.parse(line))
        )
    );
}
