/**
 * Bundles both programs, then builds `dist/rattanquay`, a self-contained executable that includes Node.
 *
 * `--bundle-only` skips the executable; `--platform` only bundles the program for the users' platform, into `target/`.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

const seaFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const { version } = JSON.parse(readFileSync("package.json", "utf8"));

const bundle = (entryPoint, outfile, minify = false) =>
    build({
        minify,
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // The UMD entry loads its own files by a `require` that bundlers cannot resolve.
        alias: { "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js" },
        logLevel: "error",
        define: {
            "process.env.RATTANQUAY_VERSION": JSON.stringify(version),
            // The executable contains no native modules, and looking for one would print a warning.
            "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": JSON.stringify("true"),
        },
    });

const makeBinary = () => {
    const config = { main: "dist/rattanquay.cjs", output: "dist/sea.blob", disableExperimentalSEAWarning: true };
    writeFileSync("dist/sea.json", JSON.stringify(config));
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "pipe" });
    copyFileSync(process.execPath, "dist/rattanquay");
    chmodSync("dist/rattanquay", 0o755);
    const require = createRequire(import.meta.url);
    const postject = join(dirname(require.resolve("postject/package.json")), "dist", "cli.js");
    execFileSync(process.execPath, [
        postject,
        "dist/rattanquay",
        "NODE_SEA_BLOB",
        "dist/sea.blob",
        "--sentinel-fuse",
        seaFuse,
    ], {
        stdio: "pipe",
    });
};

if (process.argv.includes("--platform")) {
    await bundle("platform/src/program.ts", "target/rattanquay.cjs", true);
    process.exit(0);
}
mkdirSync("dist", { recursive: true });
await bundle("packages/cli/src/main.ts", "dist/rattanquay.cjs");
await bundle("packages/lab/src/main.ts", "dist/rattanquay-lab.cjs");
if (!process.argv.includes("--bundle-only")) {
    makeBinary();
    console.log("built dist/rattanquay");
}
