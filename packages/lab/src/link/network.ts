/** The ways between zones and to the platform, each through a link that can be cut. */
import { type HeldLink, startHeldLink } from "./heldLink";

/** Names of places: a zone, the platform, or whoever calls from elsewhere. */
export const platformPlace = "platform";
export const outside = "outside";

/** Whether bytes pass from one place to another. */
export type Passes = (from: string, to: string) => boolean;

export type Network = {
    /** The loopback address that stands for a zone: links tell by it where a connection comes from. */
    readonly addressOf: (zone: string) => string;
    /** A port that leads to one of the zone's processes. */
    readonly wayTo: (zone: string, targetPort: number) => Promise<number>;
    /** A port by which a zone reaches the platform. */
    readonly platformWay: (zone: string, platformPort: number) => Promise<number>;
    readonly setPasses: (passes: Passes) => void;
    readonly heal: () => void;
    readonly close: () => void;
};

const firstZoneAddress = 2;

export function makeNetwork(zones: readonly string[]): Network {
    const links: HeldLink[] = [];
    const all: Passes = () => true;
    let passes = all;
    const addressOf = (zone: string): string => `127.0.0.${zones.indexOf(zone) + firstZoneAddress}`;
    const zoneAt = new Map(zones.map(zone => [addressOf(zone), zone]));
    const placeOf = (remoteAddress: string): string => zoneAt.get(remoteAddress) ?? outside;
    const setPasses = (next: Passes): void => {
        passes = next;
        links.forEach(link => link.refresh());
    };
    const add = async (link: Promise<HeldLink>): Promise<number> => {
        links.push(await link);
        return (await link).port;
    };
    return {
        addressOf,
        wayTo: (zone, targetPort) =>
            add(startHeldLink({
                host: addressOf(zone),
                targetPort,
                passesIn: remote => placeOf(remote) === zone || passes(placeOf(remote), zone),
                passesOut: remote => placeOf(remote) === zone || passes(zone, placeOf(remote)),
            })),
        platformWay: (zone, platformPort) =>
            add(startHeldLink({
                host: "127.0.0.1",
                targetPort: platformPort,
                passesIn: () => passes(zone, platformPlace),
                passesOut: () => passes(platformPlace, zone),
            })),
        setPasses,
        heal: () => setPasses(all),
        close: () => links.forEach(link => link.close()),
    };
}
