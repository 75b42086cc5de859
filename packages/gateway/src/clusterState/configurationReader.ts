/** Reads the configuration from the rows of the operator's table. */
import { eraOf, type ServingConfig, type StorePosition } from "@rattanquay/schema";
import { type RecordSource, type StoredRow } from "../ports";
import { type RowFaults } from "../rowFaults";
import { type ClusterState } from "./clusterState";

export type ConfigurationReader = {
    readonly read: (rows: readonly StoredRow[]) => void;
    /** Records that the rows have been read up to an answer that was asked for at a time, which confirms the newest version. */
    readonly noteUpToDate: (askedAtMs: number) => void;
};

export function makeConfigurationReader(
    source: RecordSource<ServingConfig>,
    clusterState: ClusterState,
    faults: RowFaults,
): ConfigurationReader {
    /** Whether the store's configuration can't be read, so that the one in force is not the newest. */
    let isNewestUnreadable = false;
    let lastRead: StorePosition | undefined;
    /** Where a restored store holds an older version than the one in force, until the operator has written that again. */
    let behindAt: StorePosition | undefined;
    const noteVersion = ({ revision }: StoredRow, version: number): void => {
        if (version >= (clusterState.routes()?.version ?? 0)) {
            behindAt = undefined;
        }
        else if (lastRead !== undefined && eraOf(revision) > eraOf(lastRead)) {
            behindAt = revision;
        }
        lastRead = revision;
    };
    const isStoreBehind = (): boolean => behindAt !== undefined && clusterState.operatorRowsAsOf() <= behindAt;
    return {
        read: rows => {
            for (const row of rows) {
                const decoded = source.decode(row);
                const config = faults.take(row, decoded);
                if (config !== undefined) {
                    noteVersion(row, config.version);
                    clusterState.applyConfiguration(config, "store");
                }
                isNewestUnreadable = decoded.kind === "unrelated" ? isNewestUnreadable : decoded.kind === "unusable";
            }
        },
        noteUpToDate: askedAtMs => {
            if (!isNewestUnreadable && !isStoreBehind()) {
                clusterState.configurationAge.noteStoreAnswer(askedAtMs);
            }
        },
    };
}
