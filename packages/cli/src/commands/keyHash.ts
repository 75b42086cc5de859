import { hashKey } from "@rattanquay/entry";
import { readFileSync } from "node:fs";
import { exitCodes } from "../exitCodes";
import { print } from "../output";
import { type Command } from "../runCommand";

const stdinDescriptor = 0;

export const keyHash: Command = {
    name: "key hash",
    usage: "key hash < KEYFILE",
    summary: "Print the hash of the key on standard input, as tickets and settings declare it.",
    run: async () => {
        print(hashKey(readFileSync(stdinDescriptor, "utf8").trim()));
        return exitCodes.ok;
    },
};
