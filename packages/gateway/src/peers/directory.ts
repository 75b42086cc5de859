/** Which other gateway processes there are: each registers itself in the store; a few seeds are known from the settings. */
import { GatewayInstance, parseAs } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
import { instanceTable } from "../control";
import { type Surroundings } from "../surroundings";

export type Directory = {
    /** The others, without this process. */
    readonly peers: () => readonly GatewayInstance[];
    /** Addresses that may be peers' although no row was read. */
    readonly seeds: readonly string[];
    /** Takes the own row out. */
    readonly leave: () => Promise<void>;
    readonly stop: () => void;
};

const readEveryMs = 12_000;
const retryMs = 700;

export function startDirectory(surroundings: Surroundings): Directory {
    const { settings, ports: { store }, timer, log, onBroken, random } = surroundings;
    const { instance, availabilityZone, listeners, seeds } = settings;
    const own = listeners.peers === undefined ? undefined : `${listeners.peers.host}:${listeners.peers.port}`;
    const at = { table: instanceTable, key: instance };
    let running = true;
    let registered = own === undefined;
    let peers: readonly GatewayInstance[] = [];

    const register = async (): Promise<void> => {
        const row: GatewayInstance = { instance, availabilityZone, address: own ?? "" };
        const outcome = await store.write({ expected: [], put: [{ ...at, text: JSON.stringify(row) }], remove: [] });
        registered = outcome.kind === "done";
    };
    const read = async (): Promise<boolean> => {
        const outcome = await store.read(instanceTable);
        if (outcome.kind !== "done") {
            return false;
        }
        const found = outcome.value.flatMap(({ text }) => {
            const peer = parseAs(GatewayInstance, text);
            return peer !== undefined && peer.instance !== instance ? [peer] : [];
        });
        if (found.length !== peers.length) {
            log.info("peersRead", { peers: found.length, before: peers.length });
        }
        peers = found;
        return true;
    };
    const run = async (): Promise<void> => {
        // The others register at about the same time.
        await sleep(timer, retryMs * random());
        while (running) {
            if (!registered) {
                await register();
            }
            const isKnown = await read() && registered;
            await sleep(timer, isKnown && peers.length > 0 ? readEveryMs * (0.8 + 0.4 * random()) : retryMs * 2);
        }
    };
    run().catch(error => onBroken("directory", error));
    return {
        peers: () => peers,
        seeds: seeds.filter(address => address !== own),
        stop: () => {
            running = false;
        },
        leave: async () => {
            running = false;
            if (registered && own !== undefined) {
                await store.write({ expected: [], put: [], remove: [at] });
            }
        },
    };
}
