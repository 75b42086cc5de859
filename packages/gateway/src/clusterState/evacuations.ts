/**
 * Which availability zones are evacuated, as far as known here.
 *
 * A zone's state is only replaced by one of a higher position. The end of an evacuation is kept with its position, so that
 * an older copy from a peer cannot evacuate the zone again.
 *
 * All that is known as of a newer era of the store ends what earlier eras state. An evacuation that it lacks was lost with the
 * store's last writes or has ended: the zone stays evacuated until `settle`, before which the operator writes it again.
 */
import { describePosition, eraOf, type StorePosition, type ZoneEvacuation } from "@rattanquay/schema";
import { type Log } from "@rattanquay/telemetry";
import { type GatewayMetrics } from "../metrics";
import { type Origin } from "./origin";

export type Evacuations = {
    readonly isEvacuated: (zone: string) => boolean;
    /** The evacuated zones; another set after each change. */
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** All zones that the store named in the era of `newest`, as far as they are kept. */
    readonly zones: () => readonly ZoneEvacuation[];
    /**
     * The position up to which all starts and ends of evacuations are known: that of the newest one or of a full read since.
     * Undefined while nothing is known of evacuations.
     */
    readonly newest: () => StorePosition | undefined;
    /** Applies changes that are complete up to the position `newest`. */
    readonly apply: (changes: readonly ZoneEvacuation[], newest: StorePosition, origin: Origin) => void;
    /** Applies all that is known as of a position: evacuations of its era of zones that are not in `listed` ended by then. */
    readonly applySnapshot: (listed: readonly ZoneEvacuation[], asOf: StorePosition, origin: Origin) => void;
    /** Ends evacuations that the store has not named since an era began, unless a newer one has begun. */
    readonly settle: (era: number) => void;
    /** Adds a listener, which is called with the zones whose evacuation has started or ended. */
    readonly onChange: (listener: (zones: readonly string[]) => void) => void;
};

/** Maximum number of zones that are kept; the oldest that are not evacuated are dropped. */
const maxZones = 1_000;

export type EvacuationOptions = {
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    /** Whether a zone exists as far as known; others are reported and kept, and match no upstream. */
    readonly isKnownZone: (zone: string) => boolean;
    /** Called when an era has replaced another one. */
    readonly onEra: (era: number) => void;
};

export function makeEvacuations({ log, metrics, isKnownZone, onEra }: EvacuationOptions): Evacuations {
    const known = new Map<string, ZoneEvacuation>();
    let evacuatedZones: ReadonlySet<string> = new Set();
    let newest: StorePosition | undefined;
    const isOfEarlierEra = (position: StorePosition): boolean => eraOf(position) < eraOf(newest ?? 0);
    const listeners = new Set<(zones: readonly string[]) => void>();

    const applyOne = (next: ZoneEvacuation, origin: Origin): boolean => {
        const before = known.get(next.zone);
        // What a peer still holds of a zone that is not kept here is older than what was dropped.
        if (next.revision <= (before?.revision ?? (origin === "peer" ? newest ?? 0 : 0))) {
            return false;
        }
        known.delete(next.zone);
        known.set(next.zone, next);
        return (before?.isEvacuated ?? false) !== next.isEvacuated;
    };
    const dropOldest = (): void => {
        for (const { zone, isEvacuated } of known.values()) {
            if (known.size <= maxZones) {
                return;
            }
            if (!isEvacuated) {
                known.delete(zone);
            }
        }
    };
    const logChange = ({ zone, isEvacuated, revision }: ZoneEvacuation, origin: Origin): void => {
        const fields = { zone, ...describePosition(revision), origin };
        if (isEvacuated && !isKnownZone(zone)) {
            log.warn("evacuationZoneUnknown", fields);
        }
        else if (isEvacuated) {
            log.info("evacuationStarted", fields);
        }
        else {
            log.info("evacuationEnded", fields);
        }
    };
    const apply: Evacuations["apply"] = (changes, upTo, origin) => {
        const inOrder = changes.filter(({ revision }) => !isOfEarlierEra(revision)).sort((a, b) =>
            a.revision - b.revision
        );
        const changed = inOrder.filter(change => applyOne(change, origin));
        const isNewer = newest === undefined || upTo > newest;
        newest = Math.max(newest ?? 0, upTo);
        if (changed.length > 0) {
            changed.forEach(change => logChange(change, origin));
            evacuatedZones = new Set(
                [...known.values()].flatMap(({ zone, isEvacuated }) => isEvacuated ? [zone] : []),
            );
            metrics.evacuatedZones.set(evacuatedZones.size);
            dropOldest();
        }
        if (changed.length > 0 || isNewer) {
            listeners.forEach(listener => listener([...new Set(changed.map(({ zone }) => zone))]));
        }
    };
    /** Drops the ends of evacuations of earlier eras. */
    const beginEra = (position: StorePosition, origin: Origin): void => {
        const zones = [...known.values()];
        zones.filter(({ isEvacuated }) => !isEvacuated).forEach(({ zone }) => known.delete(zone));
        log.info("storeEraBegan", {
            part: "evacuations",
            ...describePosition(position),
            before: eraOf(newest ?? 0),
            origin,
            droppedEnds: zones.length - known.size,
            kept: known.size,
        });
    };
    return {
        isEvacuated: zone => evacuatedZones.has(zone),
        evacuatedZones: () => evacuatedZones,
        zones: () => [...known.values()].filter(({ revision }) => !isOfEarlierEra(revision)),
        newest: () => newest,
        apply,
        applySnapshot: (listed, asOf, origin) => {
            if (isOfEarlierEra(asOf)) {
                return;
            }
            const isNewEra = newest !== undefined && eraOf(asOf) > eraOf(newest);
            if (isNewEra) {
                beginEra(asOf, origin);
            }
            const zones = new Set(listed.map(({ zone }) => zone));
            const ended = [...known.values()].filter(({ zone, isEvacuated, revision }) =>
                isEvacuated && revision < asOf && eraOf(revision) === eraOf(asOf) && !zones.has(zone)
            );
            apply([...listed, ...endAll(ended, asOf)], asOf, origin);
            if (isNewEra) {
                onEra(eraOf(asOf));
            }
        },
        settle: era => {
            if (newest !== undefined && eraOf(newest) === era) {
                const lost = [...known.values()].filter(({ isEvacuated, revision }) =>
                    isEvacuated && isOfEarlierEra(revision)
                );
                apply(endAll(lost, newest), newest, "store");
            }
        },
        onChange: listener => {
            listeners.add(listener);
        },
    };
}

function endAll(ended: readonly ZoneEvacuation[], at: StorePosition): readonly ZoneEvacuation[] {
    return ended.map(({ zone }) => ({ zone, isEvacuated: false, revision: at }));
}
