/** Requests for cluster state between peers: what a peer answers, and how an answer is applied. */
import {
    checkRecord,
    eraOf,
    type GatewayAnswer,
    type GatewayRequest,
    revisionOf,
    type ServingConfig,
    type StorePosition,
    storePosition,
    type UpstreamRecord,
    type ZoneEvacuation,
} from "@rattanquay/schema";
import { type Timer } from "@rattanquay/timer";
import { type ClusterState, type Revisioned } from "../clusterState";
import { type RowFaults } from "../rowFaults";
import { packConfiguration, unpackConfiguration } from "./packedConfiguration";

/** Used as the table's name in reports of records that came from peers. */
const peerRecords = "records of peers";

type StateRequest = Extract<GatewayRequest, { kind: "clusterState" }>;
type StateAnswer = Extract<GatewayAnswer, { kind: "clusterState" }>;

/** The request for everything that is newer than the local state; `mustConfirm` also has the configuration confirmed. */
export function makeStateRequest(clusterState: ClusterState, mustConfirm?: boolean): StateRequest {
    const newest = clusterState.evacuations.newest();
    return {
        kind: "clusterState",
        configVersion: clusterState.routes()?.version ?? 0,
        asOf: revisionOf(clusterState.asOf()),
        era: eraOf(clusterState.asOf()),
        newestEvacuation: newest === undefined ? undefined : revisionOf(newest),
        evacuationsEra: newest === undefined ? undefined : eraOf(newest),
        acceptsPacked: true,
        mustConfirm,
    };
}

/** Returns a function that answers requests of peers, and confirms the configuration before if they ask for that. */
export function makeStateAnswerer(clusterState: ClusterState, confirmWithStore: () => Promise<void>, timer: Timer) {
    return async (request: StateRequest): Promise<StateAnswer> => {
        if (request.mustConfirm === true) {
            await confirmWithStore();
        }
        return answerStateRequest(request, clusterState, timer.nowMs());
    };
}

export function answerStateRequest(request: StateRequest, clusterState: ClusterState, nowMs: number): StateAnswer {
    const confirmedAtMs = clusterState.configurationEvidence()?.confirmedAtMs;
    const era = eraOf(Math.max(clusterState.asOf(), clusterState.newestChange()));
    const after = storePosition(request.era ?? era, request.asOf);
    // Changes after an earlier position would lack removals.
    const isWhole = request.asOf === 0 || after < clusterState.removalsSince();
    const isMissing = ({ revision }: { readonly revision: StorePosition }): boolean => isWhole || revision > after;
    return {
        kind: "clusterState",
        ...newerConfiguration(request, clusterState.configuration()),
        isWhole: isWhole && clusterState.hasCompleteList(),
        records: clusterState.storedRecords().filter(isMissing).map(({ value, revision }) => ({
            value,
            revision: revisionOf(revision),
        })),
        removals: clusterState.removals().filter(isMissing).map(({ id, revision }) => ({
            id,
            revision: revisionOf(revision),
        })),
        asOf: revisionOf(clusterState.asOf()),
        era,
        evacuations: newerEvacuations(request, clusterState),
        configAgeMs: confirmedAtMs === undefined ? undefined : Math.max(0, nowMs - confirmedAtMs),
    };
}

function newerEvacuations(
    { newestEvacuation, evacuationsEra }: StateRequest,
    { evacuations }: ClusterState,
): StateAnswer["evacuations"] {
    const newest = evacuations.newest();
    if (newest === undefined) {
        return undefined;
    }
    const era = eraOf(newest);
    const known = newestEvacuation === undefined ? -1 : storePosition(evacuationsEra ?? era, newestEvacuation);
    const zones = evacuations.zones().map((zone): ZoneEvacuation => ({ ...zone, revision: revisionOf(zone.revision) }));
    return newest > known ? { newest: revisionOf(newest), zones, era } : undefined;
}

function newerConfiguration(
    { configVersion, acceptsPacked }: StateRequest,
    config: ServingConfig | undefined,
): Pick<StateAnswer, "config" | "packedConfig"> {
    if (config === undefined || config.version <= configVersion) {
        return {};
    }
    return acceptsPacked === true ? { packedConfig: packConfiguration(config) } : { config };
}

/** The configuration in an answer; undefined if there is none that can be used. */
function readConfiguration({ config, packedConfig }: StateAnswer, faults: RowFaults): ServingConfig | undefined {
    return packedConfig === undefined
        ? config
        : faults.take({ table: peerRecords, key: "configuration" }, unpackConfiguration(packedConfig));
}

/**
 * Applies an answer to a request that was sent at `askedAtMs`. A record that names no usable upstream counts as removed: a peer
 * of another version may keep one. `isNewestLeftOut` states that the request left out a configuration that is newer than the one in
 * force, so that the answer does not confirm that. Returns whether the answer holds a configuration that can't be read.
 */
export function applyStateAnswer(
    answer: StateAnswer,
    clusterState: ClusterState,
    faults: RowFaults,
    askedAtMs: number,
    isNewestLeftOut = false,
): boolean {
    const era = answer.era ?? eraOf(clusterState.asOf());
    const asOf = storePosition(era, answer.asOf);
    const records: Revisioned<UpstreamRecord>[] = [];
    const removals = answer.removals.map(({ id, revision }) => ({ id, revision: storePosition(era, revision) }));
    for (const { value, revision } of answer.records) {
        const usable = faults.take({ table: peerRecords, key: value.id }, checkRecord(value));
        if (usable === undefined) {
            removals.push({ id: value.id, revision: storePosition(era, revision) });
        }
        else {
            records.push({ value: usable, revision: storePosition(era, revision) });
        }
    }
    // Before the configuration and the records, which make a process that has just started ready.
    const operatorRowsAsOf = applyEvacuations(answer.evacuations, clusterState);
    const config = readConfiguration(answer, faults);
    if (config !== undefined) {
        clusterState.applyConfiguration(config, "peer");
    }
    // Unless its configuration can't be used, the peer's version is not newer than the one in force here now.
    const isUnreadable = config === undefined && answer.packedConfig !== undefined;
    const hasNewest = !isUnreadable && !isNewestLeftOut;
    if (answer.configAgeMs !== undefined && hasNewest) {
        clusterState.configurationAge.notePeerAnswer(askedAtMs - answer.configAgeMs);
    }
    if (operatorRowsAsOf !== undefined && hasNewest) {
        clusterState.noteOperatorRows(operatorRowsAsOf);
    }
    if (answer.isWhole) {
        clusterState.applySnapshot(records, asOf, "peer");
        return isUnreadable;
    }
    // Changes alone can't begin an era: what it has dropped would stay.
    if (!clusterState.hasCompleteList() || era === eraOf(clusterState.asOf())) {
        clusterState.applyRecords(records, "peer");
        clusterState.applyRemovals(removals, "peer");
        clusterState.advanceAsOf(asOf);
    }
    return isUnreadable;
}

/** Returns the position as of which the evacuations were applied. */
function applyEvacuations(
    received: StateAnswer["evacuations"],
    { evacuations }: ClusterState,
): StorePosition | undefined {
    if (received === undefined) {
        return undefined;
    }
    const era = received.era ?? eraOf(evacuations.newest() ?? 0);
    const zones = received.zones.map(zone => ({ ...zone, revision: storePosition(era, zone.revision) }));
    const asOf = storePosition(era, received.newest);
    evacuations.applySnapshot(zones, asOf, "peer");
    return asOf;
}
