/**
 * Proxied connections between zones and to the platform, each through a link that can be paused in either direction.
 */
import { type PausableLink, startPausableLink } from "./pausableLink";

/** Besides the zones, a connection can start or end at the platform, or start at a client outside of all zones. */
export const platformLocation = "platform";
export const outsideLocation = "outside";

/** Whether bytes pass from one zone, platform or outside client to another. */
export type Connectivity = (from: string, to: string) => boolean;

export type Network = {
    /** The loopback address of a zone. Links identify the zone that a connection comes from by its source address. */
    readonly addressOf: (zone: string) => string;
    /** Starts a link to a port of one of the zone's processes and resolves to the link's own port. */
    readonly openLinkTo: (zone: string, targetPort: number) => Promise<number>;
    /** Starts a link from a zone to the platform and resolves to the link's own port. */
    readonly openLinkToPlatform: (zone: string, platformPort: number) => Promise<number>;
    /** Applies to open connections as well as to new ones. */
    readonly setConnectivity: (isConnected: Connectivity) => void;
    /** Lets all bytes pass again. */
    readonly heal: () => void;
    readonly close: () => void;
};

/** The last byte of the first zone's address. 127.0.0.1 is left to the platform and to clients outside of all zones. */
const firstZoneAddress = 2;

export function makeNetwork(zones: readonly string[]): Network {
    const links: PausableLink[] = [];
    const allowAll: Connectivity = () => true;
    let isConnected = allowAll;
    const addressOf = (zone: string): string => `127.0.0.${zones.indexOf(zone) + firstZoneAddress}`;
    const zoneAt = new Map(zones.map(zone => [addressOf(zone), zone]));
    const locationOf = (clientAddress: string): string => zoneAt.get(clientAddress) ?? outsideLocation;
    const setPasses = (next: Connectivity): void => {
        isConnected = next;
        links.forEach(link => link.refresh());
    };
    const add = async (link: Promise<PausableLink>): Promise<number> => {
        links.push(await link);
        return (await link).port;
    };
    return {
        addressOf,
        openLinkTo: (zone, targetPort) =>
            add(startPausableLink({
                host: addressOf(zone),
                targetPort,
                isInboundOpen: clientAddress =>
                    locationOf(clientAddress) === zone || isConnected(locationOf(clientAddress), zone),
                isOutboundOpen: clientAddress =>
                    locationOf(clientAddress) === zone || isConnected(zone, locationOf(clientAddress)),
            })),
        openLinkToPlatform: (zone, platformPort) =>
            add(startPausableLink({
                host: "127.0.0.1",
                targetPort: platformPort,
                isInboundOpen: () => isConnected(zone, platformLocation),
                isOutboundOpen: () => isConnected(platformLocation, zone),
            })),
        setConnectivity: setPasses,
        heal: () => setPasses(allowAll),
        close: () => links.forEach(link => link.close()),
    };
}
