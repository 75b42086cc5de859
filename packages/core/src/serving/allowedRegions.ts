/** Which regions a request may reach, by the lists of its route and of its workspace. */

/** Names of regions; undefined if there is no restriction. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** The regions that are in every list. An absent or empty list imposes no restriction. */
export function intersectRegions(...lists: readonly (readonly string[] | undefined)[]): AllowedRegions {
    const [first, ...others] = lists.flatMap(list => list === undefined || list.length === 0 ? [] : [list]);
    return first === undefined
        ? undefined
        : new Set(first.filter(region => others.every(list => list.includes(region))));
}

/** Whether a request may reach an availability zone. `regions` holds the region of each zone; a zone without one is in none. */
export function mayReachZone(
    zone: string,
    allowed: AllowedRegions,
    regions: Readonly<Record<string, string>> | undefined,
): boolean {
    if (allowed === undefined) {
        return true;
    }
    return regions !== undefined && Object.hasOwn(regions, zone) && allowed.has(regions[zone]!);
}
