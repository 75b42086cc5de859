/** Collects the configuration revision of every process for `ticket status`, from one peer in each other zone. */
import { type PeerMember } from "@rattanquay/core";
import { type EntryPlace, type PeerMessage, type Progress } from "@rattanquay/schema";
import { sleep, type Timer } from "@rattanquay/timer";
import { type Connection } from "./connection";

type Options = {
    readonly timer: Timer;
    readonly own: () => Progress;
    readonly ownZone: string;
    readonly members: () => readonly PeerMember[];
    readonly connections: () => readonly Connection[];
    readonly places: () => readonly EntryPlace[];
};

type Answer = Extract<PeerMessage, { readonly kind: "progress" }>;

export type ProgressRequests = {
    /** The progress of the processes in this process's zone. */
    readonly ownZone: () => readonly Progress[];
    /** The progress of every known process. `heard` is false for those that no queried process counts as alive. */
    readonly allZones: () => Promise<readonly Progress[]>;
    readonly handleAnswer: (answer: Answer) => void;
};

const requestTimeoutMs = 1_000;

export function makeProgressRequests(options: Options): ProgressRequests {
    const waiting = new Map<number, (processes: readonly Progress[]) => void>();
    let nextRequestId = 1;

    const progressOf = (member: PeerMember): Progress => ({
        process: member.process,
        revision: member.revision,
        heard: member.state === "alive",
    });

    const ownZone = (): readonly Progress[] => [
        options.own(),
        ...options.members().filter(member => member.availabilityZone === options.ownZone).map(progressOf),
    ];

    const requestProgress = (connection: Connection): Promise<readonly Progress[]> => {
        const ask = nextRequestId++;
        const answered = new Promise<readonly Progress[]>(resolve => waiting.set(ask, resolve));
        connection.link.send({ kind: "progressAsk", ask });
        const timedOut = sleep(options.timer, requestTimeoutMs).then(() => []);
        return Promise.race([answered, timedOut]).finally(() => waiting.delete(ask));
    };

    const allZones = async (): Promise<readonly Progress[]> => {
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
function mergeProgress(all: readonly Progress[]): readonly Progress[] {
    const merged = new Map<string, Progress>();
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
