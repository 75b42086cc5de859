/**
 * Local view of the cluster state: the newest known configuration, the registered upstreams and the evacuated zones.
 *
 * Updates only move forward. A configuration replaces one of a lower version, whichever era of the store it comes from; the
 * list of upstreams and the evacuations move forward in the store's history.
 */
import { makeRouteTable, type RouteTable } from "@rattanquay/core";
import { eraOf, type ServingConfig, type StorePosition } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type GatewayMetrics } from "../metrics";
import { type ConfigurationAge, type ConfigurationEvidence, makeConfigurationAge } from "./configurationAge";
import { describeChanges } from "./configurationChanges";
import { type Evacuations, makeEvacuations } from "./evacuations";
import { type Origin } from "./origin";
import { makeUpstreamList, type UpstreamList } from "./upstreamList";

export type ClusterState = Omit<UpstreamList, "settle"> & {
    readonly routes: () => RouteTable | undefined;
    readonly configuration: () => ServingConfig | undefined;
    /** How new the configuration in force is known to be; undefined while there is none. */
    readonly configurationEvidence: () => ConfigurationEvidence | undefined;
    readonly configurationAge: ConfigurationAge;
    /** Whether no request may be sent to the upstreams of an availability zone. */
    readonly isEvacuated: (zone: string) => boolean;
    readonly evacuations: Evacuations;
    readonly applyConfiguration: (config: ServingConfig, origin: Origin) => void;
    /** The position up to which a peer has passed on the operator's rows: evacuations, and a configuration that could be read. */
    readonly operatorRowsAsOf: () => StorePosition;
    readonly noteOperatorRows: (asOf: StorePosition) => void;
    /**
     * Ends the use of what was known before an era began, of upstreams and of evacuations, unless a newer era has begun. To
     * be called when what lives has had the time to write its rows again.
     */
    readonly settle: (era: number) => void;
    /** Whether nothing that is known here is left from before an era of the store that began. */
    readonly isSettled: () => boolean;
    /** Adds a listener, which is called when an era has replaced another one, of upstreams or of evacuations. */
    readonly onEra: (listener: (era: number) => void) => void;
    /** Adds a listener, which is called with the ids that changed. */
    readonly onUpstreams: (listener: (ids: readonly string[]) => void) => void;
    /** Adds a listener, which is called when another configuration has come into force. */
    readonly onConfiguration: (listener: () => void) => void;
};

/** `isListedZone` tells whether the settings name a zone, and `nowMs` dates the configuration. */
export function makeClusterState(
    log: Log,
    metrics: GatewayMetrics,
    isListedZone: (zone: string) => boolean = () => true,
    nowMs: () => number = () => 0,
): ClusterState {
    let table: RouteTable | undefined;
    let operatorRowsAsOf: StorePosition = 0;
    const configurationAge = makeConfigurationAge();
    const listeners = new Set<(ids: readonly string[]) => void>();
    const configurationListeners = new Set<() => void>();
    const eraListeners = new Set<(era: number) => void>();
    let settledEra = Infinity;

    const onEra = (part: "upstreams" | "evacuations") => (era: number): void => {
        metrics.storeEras.inc({ part });
        settledEra = -Infinity;
        eraListeners.forEach(listener => listener(era));
    };
    const { settle: settleUpstreams, ...list } = makeUpstreamList({
        log,
        onChange: ids => {
            metrics.upstreams.set(list.upstreams().size);
            listeners.forEach(listener => listener(ids));
        },
        onEra: onEra("upstreams"),
    });
    const evacuations = makeEvacuations({
        log,
        metrics,
        isKnownZone: zone =>
            isListedZone(zone) || [...list.upstreams().values()].some(record => record.availabilityZone === zone),
        onEra: onEra("evacuations"),
    });
    return {
        ...list,
        routes: () => table,
        configuration: () => table?.config,
        configurationEvidence: configurationAge.evidence,
        configurationAge,
        isEvacuated: evacuations.isEvacuated,
        evacuations,
        operatorRowsAsOf: () => operatorRowsAsOf,
        noteOperatorRows: position => {
            operatorRowsAsOf = Math.max(operatorRowsAsOf, position);
        },
        applyConfiguration: (config, origin) => {
            if (table !== undefined && config.version <= table.version) {
                return;
            }
            log.info("configurationInForce", { ...describeChanges(table?.config, config), origin });
            table = makeRouteTable(config);
            configurationAge.noteInForce(config.version, origin, nowMs());
            metrics.configVersion.set(config.version);
            configurationListeners.forEach(listener => listener());
        },
        settle: era => {
            settleUpstreams(era);
            evacuations.settle(era);
            settledEra = Math.max(settledEra, era);
        },
        isSettled: () => settledEra >= eraOf(Math.max(list.asOf(), evacuations.newest() ?? 0)),
        onEra: listener => {
            eraListeners.add(listener);
        },
        onUpstreams: listener => {
            listeners.add(listener);
        },
        onConfiguration: listener => {
            configurationListeners.add(listener);
        },
    };
}
