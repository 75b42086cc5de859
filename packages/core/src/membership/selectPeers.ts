/** Selects the peers that a process keeps links to: all in its availability zone, and a few in each other zone. */
import { type EntryListing } from "@rattanquay/schema";
import { chooseByRendezvous, type Hash } from "./rendezvous";

type Options = {
    readonly process: string;
    readonly availabilityZone: string;
    readonly linksPerOtherZone: number;
    readonly hash: Hash;
    /** Peers that cannot be reached at present; others of their zone are chosen instead. */
    readonly unreachable: ReadonlySet<string>;
};

/** In other zones the choice depends on the process, so that links and spilled work spread over the whole zone. */
export function selectPeers(places: readonly EntryListing[], options: Options): readonly EntryListing[] {
    const others = places.filter(place => place.process !== options.process);
    const zones = new Set(others.map(place => place.availabilityZone));
    return [...zones].flatMap(zone => {
        const members = others.filter(place => place.availabilityZone === zone);
        if (zone === options.availabilityZone) {
            return members;
        }
        const reachable = members.filter(member => !options.unreachable.has(member.process));
        const names = (reachable.length === 0 ? members : reachable).map(member => member.process);
        const chosen = new Set(chooseByRendezvous(options.process, names, options.linksPerOtherZone, options.hash));
        return members.filter(member => chosen.has(member.process));
    });
}
