import { exitCodes } from "../exitCodes";
import { print } from "../output";
import { type Command } from "../runCommand";

export const version: Command = {
    name: "--version",
    usage: "--version",
    summary: "Print the version, the kind of machine and the Node version.",
    run: async () => {
        const { platform, arch, versions } = process;
        const own = process.env.RATTANQUAY_VERSION ?? "0.1.0 (from source)";
        print(`${own} (${platform} ${arch}, Node ${versions.node})`);
        return exitCodes.ok;
    },
};
