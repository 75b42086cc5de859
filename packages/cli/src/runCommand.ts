/** Finds a command by name and runs it. */
import { commands } from "./commands";
import { exitCodes } from "./exitCodes";
import { print, printError } from "./output";

/** A command of the command line; each has its own file in `commands`. */
export type Command = {
    /** One or more words, separated by spaces. */
    readonly name: string;
    readonly usage: string;
    readonly summary: string;
    readonly run: (args: readonly string[]) => Promise<number>;
};

/** Runs the command that `args` begins with and resolves to the exit code. */
export async function runCommand(args: readonly string[]): Promise<number> {
    const command = commands.find(({ name }) => name.split(" ").every((word, index) => args[index] === word));
    if (command === undefined) {
        const isHelpRequested = args.length === 0 || args[0] === "--help" || args[0] === "-h" || args[0] === "help";
        (isHelpRequested ? print : printError)(renderHelp());
        return isHelpRequested ? exitCodes.ok : exitCodes.usage;
    }
    const rest = args.slice(command.name.split(" ").length);
    if (rest.includes("--help") || rest.includes("-h")) {
        print(`Usage: rattanquay ${command.usage}\n\n${command.summary}`);
        return exitCodes.ok;
    }
    try {
        return await command.run(rest);
    }
    catch (error) {
        printError(`${(error as Error).message}\nUsage: rattanquay ${command.usage}`);
        return exitCodes.usage;
    }
}

function renderHelp(): string {
    const width = Math.max(...commands.map(({ name }) => name.length));
    const lines = commands.map(({ name, summary }) => `  ${name.padEnd(width)}  ${summary.split("\n")[0]}`);
    return [
        "Usage: rattanquay COMMAND [OPTIONS]",
        "",
        "Commands:",
        ...lines,
        "",
        "Run rattanquay COMMAND --help for more information on a command.",
    ].join("\n");
}
