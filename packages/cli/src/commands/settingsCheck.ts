import { Settings } from "@rattanquay/schema";
import { type Command } from "../runCommand";
import { checkFile } from "./checkFile";

export const settingsCheck: Command = {
    words: "settings check",
    usage: "settings check FILE [--json]",
    summary: "Check a settings file and say what is wrong with it.",
    run: args => checkFile(args, Settings, "settings"),
};
