/** Collects the configuration revision of every process for `ticket status`, from one peer in each other zone. */
import { type PeerMember } from "@rattanquay/core";
import { type ConfigProgress, type EntryListing, type PeerMessage } from "@rattanquay/schema";
import { sleep, type Timer } from "@rattanquay/timer";
import { type Connection } from "./connection";

type Options = {
    readonly timer: Timer;
    readonly own: () => ConfigProgress;
    readonly ownZone: string;
    readonly members: () => readonly PeerMember[];
    readonly connections: () => readonly Connection[];
    readonly places: () => readonly EntryListing[];
};

type Answer = Extract<PeerMessage, { readonly kind: "progress" }>;

export type ProgressRequests = {
    /** The progress of the processes in this process's zone. */
    readonly ownZone: () => readonly ConfigProgress[];
    /** The progress of every known process. `heard` is false for those that no queried process counts as alive. */
    readonly allZones: () => Promise<readonly ConfigProgress[]>;
    readonly handleAnswer: (answer: Answer) => void;
};

const requestTimeoutMs = 1_000;

export function makeProgressRequests(options: Options): ProgressRequests {
    const waiting = new Map<number, (processes: readonly ConfigProgress[]) => void>();
    let nextRequestId = 1;

    const progressOf = (member: PeerMember): ConfigProgress => ({
        process: member.process,
        revision: member.revision,
        heard: member.state === "alive",
    });

    const ownZone = (): readonly ConfigProgress[] => [
        options.own(),
        ...options.members().filter(member => member.availabilityZone === options.ownZone).map(progressOf),
    ];

    const requestProgress = (connection: Connection): Promise<readonly ConfigProgress[]> => {
        const ask = nextRequestId++;
        const answered = new Promise<readonly ConfigProgress[]>(resolve => waiting.set(ask, resolve));
        connection.link.send({ kind: "progressAsk", ask });
        const timedOut = sleep(options.timer, requestTimeoutMs).then(() => []);
        return Promise.race([answered, timedOut]).finally(() => waiting.delete(ask));
    };

    const allZones = async (): Promise<readonly ConfigProgress[]> => {
        const alive = new Set(
            options.members().filter(member => member.state === "alive").map(member => member.process),
        );
        const others = options.connections().filter(({ peer }) =>
            peer !== undefined && peer.availabilityZone !== options.ownZone && alive.has(peer.process)
        );
        const firstOfZone = new Map(others.map(connection => [connection.peer!.availabilityZone, connection]));
        const reported = (await Promise.all([...firstOfZone.values()].map(requestProgress))).flat();
        const unreported = options.places().map(({ process }) => ({ process, revision: 0, heard: false }));
        const fromMembers = options.members().map(progressOf);
        return mergeProgress([...unreported, ...fromMembers, ...reported, ...ownZone()]);
    };

    return {
        ownZone,
        allZones,
        handleAnswer: ({ ask, processes }) => {
            waiting.get(ask)?.(processes);
        },
    };
}

/** Prefers entries with `heard`, then the higher revision, since revisions only grow. */
function mergeProgress(all: readonly ConfigProgress[]): readonly ConfigProgress[] {
    const merged = new Map<string, ConfigProgress>();
    for (const progress of all) {
        const known = merged.get(progress.process);
        const isBetter = known === undefined || (progress.heard && !known.heard)
            || (progress.heard === known.heard && progress.revision > known.revision);
        if (isBetter) {
            merged.set(progress.process, progress);
        }
    }
    return [...merged.values()].sort((a, b) => a.process < b.process ? -1 : 1);
}
