/** Discovers the other gateway processes: each registers itself in the store, and the settings name a few seeds. */
import { GatewayInstance } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
import { instanceTable } from "../control";
import { type GatewayContext } from "../gatewayContext";
import { parseRow } from "../parseRow";

export type PeerDirectory = {
    /** The registered processes other than this one. */
    readonly peers: () => readonly GatewayInstance[];
    /** Addresses from the settings that may belong to peers, used while no row has been read. */
    readonly seeds: readonly string[];
    /** Removes the row of this process. */
    readonly leave: () => Promise<void>;
    readonly stop: () => void;
};

const readEveryMs = 12_000;
/** Processes often start together, and the first read comes before most of them have registered. */
const secondReadAfterMs = 2_000;
const retryMs = 700;

export function startPeerDirectory(context: GatewayContext): PeerDirectory {
    const { settings, ports: { store }, timer, log, onFatalError, random } = context;
    const { instance, availabilityZone, listeners, seeds, cores } = settings;
    const ownAddress = listeners.peers === undefined ? undefined : `${listeners.peers.host}:${listeners.peers.port}`;
    const at = { table: instanceTable, key: instance };
    let running = true;
    let registered = ownAddress === undefined;
    let peers: readonly GatewayInstance[] = [];

    const register = async (): Promise<void> => {
        const row: GatewayInstance = { instance, availabilityZone, address: ownAddress ?? "", cores };
        const outcome = await store.write({ expected: [], put: [{ ...at, text: JSON.stringify(row) }], remove: [] });
        registered = outcome.kind === "done";
    };
    const read = async (): Promise<boolean> => {
        const outcome = await store.read(instanceTable);
        if (outcome.kind !== "done") {
            return false;
        }
        const registeredPeers = outcome.value.flatMap(({ text }) => {
            const peer = parseRow(GatewayInstance, text);
            return peer !== undefined && peer.instance !== instance ? [peer] : [];
        });
        if (registeredPeers.length !== peers.length) {
            log.info("peersRead", { peers: registeredPeers.length, before: peers.length });
        }
        peers = registeredPeers;
        return true;
    };
    const run = async (): Promise<void> => {
        // Processes often start together; a random delay spreads their registrations.
        await sleep(timer, retryMs * random());
        let completeReads = 0;
        while (running) {
            if (!registered) {
                await register();
            }
            const isKnown = await read() && registered && peers.length > 0;
            completeReads += isKnown ? 1 : 0;
            const pauseMs = completeReads === 1 ? secondReadAfterMs : readEveryMs;
            await sleep(timer, isKnown ? pauseMs * (0.8 + 0.4 * random()) : retryMs * 2);
        }
    };
    run().catch(error => onFatalError("directory", error));
    return {
        peers: () => peers,
        seeds: seeds.filter(address => address !== ownAddress),
        stop: () => {
            running = false;
        },
        leave: async () => {
            running = false;
            if (registered && ownAddress !== undefined) {
                await store.write({ expected: [], put: [], remove: [at] });
            }
        },
    };
}
