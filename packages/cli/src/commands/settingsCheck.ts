import { Settings } from "@rattanquay/schema";
import { type Command } from "../runCommand";
import { checkFile } from "./checkFile";

export const settingsCheck: Command = {
    name: "settings check",
    usage: "settings check FILE [--json]",
    summary: "Validate a settings file and report each fault with its line.",
    run: args => checkFile(args, Settings, "settings"),
};
