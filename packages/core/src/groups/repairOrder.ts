/** Named policies for the order in which services receive free instances. */

/** The declared and existing replicas of a service in one zone. */
export type ReplicaNeed = {
    readonly service: string;
    readonly declared: number;
    /** Number of groups that are not weak, of the declared version or an older one. */
    readonly present: number;
    /** Number of groups of the declared version that may be formed now. */
    readonly missing: number;
    readonly priority: number;
    /** Share of the declared replicas that are missing. */
    readonly missingShare: number;
};

export type RepairOrderPolicy = (needs: readonly ReplicaNeed[]) => readonly ReplicaNeed[];

export function needOf(need: Omit<ReplicaNeed, "missingShare">): ReplicaNeed {
    return { ...need, missingShare: missingShareOf(need.declared, need.present) };
}

/** The share of the declared replicas that are missing. */
export const missingShareOf = (declared: number, present: number): number =>
    declared === 0 ? 0 : Math.max(0, 1 - present / declared);

export const repairOrderPolicies = {
    /** The service that lacks the largest share of its declared replicas first; then by priority. */
    mostLacking: needs =>
        [...needs].sort((a, b) =>
            b.missingShare - a.missingShare || b.priority - a.priority || a.service.localeCompare(b.service)
        ),
    /** In the order of declaration; the baseline policy. */
    firstDeclared: needs => needs,
} satisfies Record<string, RepairOrderPolicy>;
