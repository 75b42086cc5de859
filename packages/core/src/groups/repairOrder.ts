/** The order in which services get free instances; a policy by name. */

/** A service's need in one zone. */
export type Need = {
    readonly service: string;
    readonly declared: number;
    /** Groups that serve or may come to serve, of the declared kind or of an older one. */
    readonly present: number;
    /** Groups of the declared kind that may be formed now. */
    readonly missing: number;
    readonly priority: number;
    /** Share of the declared replicas that is not there. */
    readonly lack: number;
};

export type RepairOrder = (needs: readonly Need[]) => readonly Need[];

export function needOf(need: Omit<Need, "lack">): Need {
    return { ...need, lack: lackOf(need.declared, need.present) };
}

/** The share of the declared replicas that is not there. */
export const lackOf = (declared: number, present: number): number =>
    declared === 0 ? 0 : Math.max(0, 1 - present / declared);

export const repairOrders = {
    /** The service that lacks the largest share of its declared replicas first; then by priority. */
    mostLacking: needs =>
        [...needs].sort((a, b) => b.lack - a.lack || b.priority - a.priority || a.service.localeCompare(b.service)),
    /** In the order of declaration, the baseline. */
    firstDeclared: needs => needs,
} satisfies Record<string, RepairOrder>;
