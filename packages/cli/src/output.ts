/** Output of the commands. */

/** Prints one line on standard output. */
export function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Prints one line on standard error. */
export function printError(line: string): void {
    process.stderr.write(`${line}\n`);
}
