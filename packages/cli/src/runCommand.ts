/** Finds a command by its words and runs it. */
import { commands } from "./commands";
import { exitCodes } from "./exitCodes";
import { complain, print } from "./output";

/** One command: thin, one file each. */
export type Command = {
    /** The words that call it. */
    readonly words: string;
    readonly usage: string;
    readonly summary: string;
    readonly run: (args: readonly string[]) => Promise<number>;
};

/** Runs the command that `args` names and resolves to the exit code. */
export async function runCommand(args: readonly string[]): Promise<number> {
    const command = commands.find(({ words }) => words.split(" ").every((word, index) => args[index] === word));
    if (command === undefined) {
        const asked = args.length === 0 || args[0] === "--help" || args[0] === "-h" || args[0] === "help";
        (asked ? print : complain)(overview());
        return asked ? exitCodes.ok : exitCodes.usage;
    }
    const rest = args.slice(command.words.split(" ").length);
    if (rest.includes("--help") || rest.includes("-h")) {
        print(`Usage: rattanquay ${command.usage}\n\n${command.summary}`);
        return exitCodes.ok;
    }
    try {
        return await command.run(rest);
    }
    catch (error) {
        complain(`${(error as Error).message}\nUsage: rattanquay ${command.usage}`);
        return exitCodes.usage;
    }
}

function overview(): string {
    const width = Math.max(...commands.map(({ words }) => words.length));
    const lines = commands.map(({ words, summary }) => `  ${words.padEnd(width)}  ${summary.split("\n")[0]}`);
    return [
        "Usage: rattanquay COMMAND [OPTIONS]",
        "",
        "Commands:",
        ...lines,
        "",
        "rattanquay COMMAND --help tells more.",
    ].join("\n");
}
