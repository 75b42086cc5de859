/** TLS on the callers' and the operators' listener, as configured in the settings. */
import { type Entry, startEntry } from "@rattanquay/entry";
import { Settings } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { readFileSync } from "node:fs";
import { request } from "node:https";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultSpec, runRattanquay, settingsFor } from "../cluster";
import { type PlatformStandIn, startPlatform } from "../platform";

const fixture = (name: string): string => `packages/lab/src/__tests__/__fixtures__/${name}`;
const certificateFile = fixture("test-certificate.pem");
const keyFile = fixture("test-key.pem");
const ca = readFileSync(certificateFile);

let platform: PlatformStandIn;
let entry: Entry;

const startEntryWith = (operatorTls: object): Promise<Entry> => {
    const location = { id: "entry-tls", availabilityZone: "zone-a", platformPort: platform.port };
    const plainSettings = settingsFor(defaultSpec, { ...location, ports: { callers: 0, operators: 0, peers: 0 } });
    const settings = Settings.parse({
        ...plainSettings,
        listeners: {
            ...plainSettings.listeners,
            callers: { port: 0, tls: { certificateFile, keyFile } },
            operators: { port: 0, tls: { certificateFile, keyFile, ...operatorTls } },
        },
    });
    return startEntry({
        settings,
        timer: systemTimer,
        log: silentLog,
        random: Math.random,
        credentials: { accessKeyId: "lab", secretAccessKey: "lab" },
        onFatalError: (task, error) => {
            throw new Error(task, { cause: error });
        },
    });
};

test.before(async () => {
    platform = await startPlatform({ listLagMs: 100 });
    entry = await startEntryWith({ authorityFile: certificateFile });
});

test.after(async () => {
    await entry.stop();
    platform.kill();
});

const getHealth = (options: object): Promise<number | string> =>
    new Promise(resolve => {
        const call = request(
            `https://127.0.0.1:${entry.callerPort}/healthz`,
            { agent: false, ...options },
            response => {
                response.resume();
                resolve(response.statusCode ?? 0);
            },
        );
        call.on("error", (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
        call.end();
    });

test("a caller who trusts the certificate is served", async () => {
    assert.is(await getHealth({ ca }), 200);
});

test("a caller who does not trust the certificate refuses it", async () => {
    assert.is(await getHealth({}), "DEPTH_ZERO_SELF_SIGNED_CERT");
});

test("a caller without TLS gets no response", async () => {
    const failed = await fetch(`http://127.0.0.1:${entry.callerPort}/healthz`).then(() => false, () => true);
    assert.ok(failed);
});

const commandCases = [
    { name: "with authority and certificate", files: ["--ca", "--cert", "--cert-key"], code: 0 },
    { name: "without the client certificate that the listener requires", files: ["--ca"], code: 3 },
    { name: "without the authority", files: ["--cert", "--cert-key"], code: 3 },
];

for (const { name, files, code } of commandCases) {
    test(`the command line ${name} exits with ${code}`, async () => {
        const file = { "--ca": certificateFile, "--cert": certificateFile, "--cert-key": keyFile };
        const options = files.flatMap(option => [option, file[option as keyof typeof file]]);
        const endpoint = `https://127.0.0.1:${entry.operatorPort}`;
        const run = await runRattanquay(["status", "--endpoint", endpoint, "--json", ...options]);
        assert.is(run.code, code, run.stderr);
        assert.ok(code !== 0 || JSON.parse(run.stdout).process === "entry-tls");
    });
}

test("an unreadable TLS file fails the start with an error that names the file", async () => {
    const message = await startEntryWith({ keyFile: "missing.pem" }).then(() => "", (error: Error) => error.message);
    assert.match(message, "missing.pem");
});

test.run();
