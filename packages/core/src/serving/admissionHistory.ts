/** How recent requests of all entry instances fared, as far as the next decisions about admission depend on it. */
import { makeRecentShares, type RecentShares } from "./recentShares";
import { type WorkspaceShares } from "./workspaceShares";

export type AdmissionHistory = {
    /** Predictions by urgency that were on time, for the requests that compete for one model. */
    readonly predictions: (service: string, model: string) => RecentShares;
    /** The utility of recent answers of a service to their callers, by urgency. */
    readonly utility: (service: string) => RecentShares;
};

export function makeAdmissionHistory(counts: WorkspaceShares): AdmissionHistory {
    const sharesByScope = new Map<string, RecentShares>();
    const sharesOf = (scope: string): RecentShares => {
        const shares = sharesByScope.get(scope) ?? makeRecentShares(counts, scope);
        sharesByScope.set(scope, shares);
        return shares;
    };
    return {
        predictions: (service, model) => sharesOf(`predictions/${service}/${model}`),
        utility: service => sharesOf(`utility/${service}`),
    };
}
