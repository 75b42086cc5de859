/**
 * The urgency of requests: 0 is the most urgent. A workspace's urgency takes precedence over its routes'.
 *
 * Upstreams admit waiting requests by a priority from 0 (first) to 9. The urgencies that occur in a service map to
 * bands of priorities, so that more urgent requests that are on time go first, and late ones go after all of them.
 */
import { type ServingConfig, type ServingRoute, type ServingWorkspace } from "@rattanquay/schema";

/** Priorities of requests that are on time: the middle where all are equally urgent, else from the first to the last. */
const onTimePriority = 4;
const firstOnTimePriority = 0;
/** Priorities of late requests, in the same way. */
const latePriority = 7;
const firstLatePriority = 6;
const lastLatePriority = 9;

export function urgencyOf(route: ServingRoute, workspace: ServingWorkspace | undefined): number {
    return workspace?.priority ?? route.priority;
}

/** The distinct urgencies of the requests of one service, the most urgent first. */
export function urgenciesOf({ routes, workspaces = [] }: ServingConfig, service: string): readonly number[] {
    const ofRoutes = routes
        .filter(({ targets }) => targets.some(target => target.service === service))
        .map(({ priority }) => priority);
    const ofWorkspaces = workspaces.flatMap(({ priority }) => priority === undefined ? [] : [priority]);
    return [...new Set([...ofRoutes, ...ofWorkspaces])].sort((a, b) => a - b);
}

/** The rank of an urgency from 0 (the most urgent of the service) to 1 (the least urgent); 0 if all are alike. */
export function urgencyRank(urgencies: readonly number[], urgency: number): number {
    const index = urgencies.indexOf(urgency);
    return index <= 0 ? 0 : index / (urgencies.length - 1);
}

export type PriorityInput = {
    /** The distinct urgencies of the service, the most urgent first. */
    readonly urgencies: readonly number[];
    readonly urgency: number;
    readonly isOnTime: boolean;
    /** Whether the request itself needs so much of its objective that it must not wait. */
    readonly isShortOfSlack: boolean;
};

/** The priority that upstreams get for a request. */
export function requestPriority({ urgencies, urgency, isOnTime, isShortOfSlack }: PriorityInput): number {
    const rank = urgencyRank(urgencies, urgency);
    if (!isOnTime) {
        return urgencies.length <= 1
            ? latePriority
            : Math.round(firstLatePriority + rank * (lastLatePriority - firstLatePriority));
    }
    const priority = urgencies.length <= 1
        ? onTimePriority
        : Math.round(firstOnTimePriority + rank * (onTimePriority - firstOnTimePriority));
    return isShortOfSlack ? Math.max(firstOnTimePriority, priority - 1) : priority;
}
