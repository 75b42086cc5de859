import { exitCodes } from "../exitCodes";
import { print } from "../output";
import { type Command } from "../runCommand";

export const version: Command = {
    name: "--version",
    usage: "--version",
    summary: "Print the version.",
    run: async () => {
        print(process.env.RATTANQUAY_VERSION ?? "0.1.0 (from source)");
        return exitCodes.ok;
    },
};
