/** Many entry instances in one process, as peers of the entry instances that are measured. */
import { startEntry } from "@rattanquay/entry";
import { silentLog } from "@rattanquay/telemetry";
import { systemTimer } from "@rattanquay/timer";
import { postControl } from "../httpServer";
import { type ClusterSpec, settingsFor } from "./clusterSpec";

export type EntrySwarmOptions = {
    readonly spec: ClusterSpec;
    readonly platformPort: number;
    /** The prefix of each entry instance's id. */
    readonly prefix: string;
    /** The zones of the entry instances to start, one for each. */
    readonly zones: readonly string[];
};

export async function startEntrySwarm({ spec, platformPort, prefix, zones }: EntrySwarmOptions): Promise<void> {
    await Promise.all(zones.map(async (availabilityZone, index) => {
        const id = `${prefix}-${index}`;
        const ports = { callers: 0, operators: 0, peers: 0 };
        const entry = await startEntry({
            settings: settingsFor(spec, { id, availabilityZone, platformPort, ports }),
            timer: systemTimer,
            log: silentLog,
            random: Math.random,
            credentials: { accessKeyId: "lab", secretAccessKey: "lab" },
            onFatalError: (task, error) => {
                throw new Error(`broken invariant in ${task}`, { cause: error });
            },
        });
        await postControl(platformPort, "/lab/entries", {
            process: id,
            availabilityZone,
            peerAddress: `127.0.0.1:${entry.peerPort}`,
            callerAddress: `127.0.0.1:${entry.callerPort}`,
        });
    }));
}
