/**
 * Discovers the other gateway processes: each registers itself in the store, and the settings name a few seeds.
 *
 * After the first reads, a process asks a relay for the list, since reads of all rows by all processes would grow with
 * the square of their number.
 *
 * A row is lost when the store comes back from a copy that is older than it. A process that has registered lately then registers
 * again at once, and any process that is missing from the list does when it reads that.
 */
import { checkValue, type GatewayInstance, UsableInstance } from "@rattanquay/schema";
import { sleep } from "@rattanquay/timer";
import { instanceTable } from "../control";
import { type GatewayContext } from "../gatewayContext";
import { parseRow } from "../parseRow";
import { makeRowFaults } from "../rowFaults";

export type PeerDirectory = {
    /** The registered processes other than this one. */
    readonly peers: () => readonly GatewayInstance[];
    /** Addresses from the settings that may belong to peers, used while no row has been read. */
    readonly seeds: readonly string[];
    /** This process and its peers, or an empty list before the first read. */
    readonly all: () => readonly GatewayInstance[];
    /** Sets where later lists come from; it resolves to undefined if they must be read from the store. */
    readonly setSource: (ask: InstanceSource) => void;
    /** To be called, once or more often, when the store has come back from an older copy and begun an era. */
    readonly noteRestore: (era: number) => void;
    /** Removes the row of this process. */
    readonly leave: () => Promise<void>;
    readonly stop: () => void;
};

export type InstanceSource = () => Promise<readonly GatewayInstance[] | undefined>;

const readEveryMs = 12_000;
/** Processes often start together, and the first read comes before most of them have registered. */
const secondReadAfterMs = 2_000;
/** Reads from the store before relays are asked: relays must be known, and may have started at the same time. */
const minStoreReads = 2;
const retryMs = 700;
/** Far above the age of a copy from which the store comes back. */
const lateRegistrationMs = 60_000;

export function startPeerDirectory(context: GatewayContext): PeerDirectory {
    const { settings, ports: { store }, timer, log, onFatalError, random } = context;
    const { instance, availabilityZone, listeners, seeds, cores } = settings;
    const ownAddress = listeners.peers === undefined ? undefined : `${listeners.peers.host}:${listeners.peers.port}`;
    const at = { table: instanceTable, key: instance };
    const faults = makeRowFaults(context);
    let running = true;
    let registered = ownAddress === undefined;
    let registeredAtMs = -Infinity;
    let notedEra = 0;
    let peers: readonly GatewayInstance[] = [];
    let source: InstanceSource = async () => undefined;
    const own: GatewayInstance = { instance, availabilityZone, address: ownAddress ?? "", cores };

    const register = async (): Promise<void> => {
        if (!running || ownAddress === undefined) {
            return;
        }
        const outcome = await store.write({ expected: [], put: [{ ...at, text: JSON.stringify(own) }], remove: [] });
        registered = outcome.kind === "done";
        registeredAtMs = timer.nowMs();
    };
    const registerAgain = (reason: string): void => {
        log.info("registeredAgain", { reason });
        void register();
    };
    /** A relay of another version may list processes that it cannot connect to either. */
    const takeListed = (listed: GatewayInstance): GatewayInstance | readonly GatewayInstance[] =>
        faults.take({ table: instanceTable, key: listed.instance }, checkValue(UsableInstance, listed)) ?? [];
    const readStore: InstanceSource = async () => {
        const outcome = await store.read(instanceTable);
        return outcome.kind === "done"
            ? outcome.value.flatMap(row => faults.take(row, parseRow(UsableInstance, row)) ?? [])
            : undefined;
    };
    const read = async (mustReadStore: boolean): Promise<boolean> => {
        const found = (mustReadStore ? undefined : (await source())?.flatMap(takeListed)) ?? await readStore();
        if (found === undefined) {
            return false;
        }
        if (registered && ownAddress !== undefined && found.every(peer => peer.instance !== instance)) {
            registerAgain("missing from the list");
        }
        const others = found.filter(peer => peer.instance !== instance);
        if (others.length !== peers.length) {
            log.info("peersRead", { peers: others.length, before: peers.length });
        }
        peers = others;
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
            const isKnown = await read(completeReads < minStoreReads) && registered && peers.length > 0;
            completeReads += isKnown ? 1 : 0;
            const pauseMs = completeReads === 1 ? secondReadAfterMs : readEveryMs;
            await sleep(timer, isKnown ? pauseMs * (0.8 + 0.4 * random()) : retryMs * 2);
        }
    };
    run().catch(error => onFatalError("directory", error));
    return {
        peers: () => peers,
        all: () => peers.length === 0 ? [] : [own, ...peers],
        setSource: next => {
            source = next;
        },
        noteRestore: era => {
            const isNew = era > notedEra;
            notedEra = Math.max(notedEra, era);
            if (isNew && registered && timer.nowMs() - registeredAtMs < lateRegistrationMs) {
                timer.after(retryMs * random(), () => registerAgain("the store was restored"));
            }
        },
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
