/** Asks one peer of each other zone how far its zone is, for `ticket status`. */
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

export type ProgressAsks = {
    /** How far this process's zone is. */
    readonly ownZone: () => readonly Progress[];
    /** How far every known process is; those that nobody could tell of are not `heard`. */
    readonly everywhere: () => Promise<readonly Progress[]>;
    readonly take: (answer: Answer) => void;
};

const askTimeoutMs = 1_000;

export function makeProgressAsks(options: Options): ProgressAsks {
    const waiting = new Map<number, (processes: readonly Progress[]) => void>();
    let nextAsk = 1;

    const progressOf = (member: PeerMember): Progress => ({
        process: member.process,
        revision: member.revision,
        heard: member.state === "alive",
    });

    const ownZone = (): readonly Progress[] => [
        options.own(),
        ...options.members().filter(member => member.availabilityZone === options.ownZone).map(progressOf),
    ];

    const askOne = (connection: Connection): Promise<readonly Progress[]> => {
        const ask = nextAsk++;
        const answered = new Promise<readonly Progress[]>(resolve => waiting.set(ask, resolve));
        connection.link.send({ kind: "progressAsk", ask });
        const timedOut = sleep(options.timer, askTimeoutMs).then(() => []);
        return Promise.race([answered, timedOut]).finally(() => waiting.delete(ask));
    };

    const everywhere = async (): Promise<readonly Progress[]> => {
        const alive = new Set(
            options.members().filter(member => member.state === "alive").map(member => member.process),
        );
        const others = options.connections().filter(({ peer }) =>
            peer !== undefined && peer.availabilityZone !== options.ownZone && alive.has(peer.process)
        );
        const firstOfZone = new Map(others.map(connection => [connection.peer!.availabilityZone, connection]));
        const told = (await Promise.all([...firstOfZone.values()].map(askOne))).flat();
        const unheard = options.places().map(({ process }) => ({ process, revision: 0, heard: false }));
        const linked = options.members().map(progressOf);
        return mergeProgress([...unheard, ...linked, ...told, ...ownZone()]);
    };

    return {
        ownZone,
        everywhere,
        take: ({ ask, processes }) => {
            waiting.get(ask)?.(processes);
        },
    };
}

/** What was heard goes before what was not, and the greater revision before the lesser, since revisions only grow. */
function mergeProgress(all: readonly Progress[]): readonly Progress[] {
    const merged = new Map<string, Progress>();
    for (const progress of all) {
        const known = merged.get(progress.process);
        const better = known === undefined || (progress.heard && !known.heard)
            || (progress.heard === known.heard && progress.revision > known.revision);
        if (better) {
            merged.set(progress.process, progress);
        }
    }
    return [...merged.values()].sort((a, b) => a.process < b.process ? -1 : 1);
}
