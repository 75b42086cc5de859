/**
 * Installs the packages of the lock file if `node_modules` is missing, older than the lock file, or was installed for
 * another kind of machine. Build folders may be carried over from one kind to another, and some packages hold programs for
 * one kind only.
 *
 * `--check` installs nothing: it says in one line what is wrong, and exits with status 1.
 */
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const kind = `${process.platform}-${process.arch}`;

const findFault = () => {
    if (!existsSync("node_modules")) {
        return "node_modules is missing";
    }
    if (statSync("node_modules").mtimeMs < statSync("package-lock.json").mtimeMs) {
        return "node_modules is older than package-lock.json";
    }
    if (!existsSync(`node_modules/@esbuild/${kind}`)) {
        return `node_modules was not installed for ${kind}`;
    }
    return undefined;
};

const fault = findFault();
if (fault !== undefined && process.argv.includes("--check")) {
    console.error(`${fault}: run npm ci`);
    process.exit(1);
}
if (fault !== undefined) {
    console.error(`${fault}: installing the packages of the lock file`);
    execFileSync("npm", ["ci", "--silent", "--no-audit", "--no-fund"], { stdio: ["ignore", "ignore", "inherit"] });
}
