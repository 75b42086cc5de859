import { basename, dirname } from "node:path";

/** Where the bundled programs are: beside the lab's own bundle, or in `dist`. */
export function programsFolder(): string {
    const own = process.argv[1] ?? "";
    return basename(own) === "rattanquay-lab.cjs" ? dirname(own) : "dist";
}
