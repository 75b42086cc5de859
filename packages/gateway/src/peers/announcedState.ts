/** Compares the state that relays announce with the local one. */
import { eraOf, type StateNotice, type StorePosition, storePosition } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";
import { type UnreadableVersion } from "./unreadableVersion";

/** More processes than announce their state here at a time; of those before, the longest silent are dropped. */
const maxAnnouncing = 16;

export type AnnouncedState = {
    readonly note: (notice: StateNotice) => void;
    /** The version of the configuration that a process has announced last, if any. */
    readonly versionOf: (instance: string) => number | undefined;
    readonly lacksEvacuation: (notice: StateNotice) => boolean;
    readonly isBehind: (notice: StateNotice) => boolean;
    /** Whether a request to a relay would bring what is missing; a version that can't be read is left to the store. */
    readonly isWorthRequesting: (notice: StateNotice) => boolean;
};

export function makeAnnouncedState(clusterState: ClusterState, unreadable: UnreadableVersion): AnnouncedState {
    const versions = new Map<string, number>();
    const ownVersion = (): number => clusterState.routes()?.version ?? 0;
    const isAfter = (revision: number, era: number | undefined, known: StorePosition): boolean =>
        storePosition(era ?? eraOf(known), revision) > known;
    const lacksEvacuation = ({ newestEvacuation, evacuationsEra }: StateNotice): boolean =>
        isAfter(newestEvacuation, evacuationsEra, clusterState.evacuations.newest() ?? 0);
    const isBehindVersion = (notice: StateNotice, version: number): boolean =>
        notice.configVersion > version
        || isAfter(notice.newestChange, notice.era, clusterState.asOf())
        || lacksEvacuation(notice);
    return {
        note: ({ instance, configVersion }) => {
            versions.delete(instance);
            versions.set(instance, configVersion);
            if (versions.size > maxAnnouncing) {
                versions.delete(versions.keys().next().value!);
            }
        },
        versionOf: instance => versions.get(instance),
        lacksEvacuation,
        isBehind: notice => isBehindVersion(notice, ownVersion()),
        isWorthRequesting: notice => isBehindVersion(notice, Math.max(ownVersion(), unreadable.current())),
    };
}
