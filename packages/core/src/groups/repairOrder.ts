/** The order in which services get free instances; a policy by name. */

/** A service's need in one zone. */
export type Need = {
    readonly service: string;
    readonly declared: number;
    readonly present: number;
    readonly priority: number;
};

export type RepairOrder = (needs: readonly Need[]) => readonly Need[];

const lack = (need: Need): number => need.declared === 0 ? 0 : 1 - need.present / need.declared;

export const repairOrders = {
    /** The service that lacks the largest share of its declared replicas first; then by priority. */
    mostLacking: needs =>
        [...needs].sort((a, b) => lack(b) - lack(a) || b.priority - a.priority || a.service.localeCompare(b.service)),
    /** In the order of declaration, the baseline. */
    firstDeclared: needs => needs,
} satisfies Record<string, RepairOrder>;
