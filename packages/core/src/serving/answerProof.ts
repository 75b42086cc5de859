/** Decides what an upstream's answer proves about the request that is waiting on its connection. */

export type AnswerFacts = {
    /** The id of the request that is waiting. */
    readonly requestId: string | undefined;
    /** The id that the answer carries. */
    readonly answerId: string | undefined;
    /** Whether the answer states that its request was not executed. */
    readonly isNotRun: boolean;
    /** How many requests the connection carried before this one. */
    readonly earlierRequests: number;
};

export type AnswerProof =
    /** The answer belongs to the request. */
    | "answered"
    /** The answer belongs to the request and states that it was not executed. */
    | "notRun"
    /** The answer may belong to another request, so this one may have been executed. */
    | "nothing";

/**
 * Decides by the id, if there is one. An answer without an id may be a copy of any earlier answer on its connection. On the
 * first request of a connection there is none, and a refusal without an id is proof.
 */
export function proofOfAnswer({ requestId, answerId, isNotRun, earlierRequests }: AnswerFacts): AnswerProof {
    const proofIfOwn = isNotRun ? "notRun" : "answered";
    if (answerId !== undefined) {
        return answerId === requestId ? proofIfOwn : "nothing";
    }
    const mayLackId = isNotRun || requestId === undefined;
    return mayLackId && earlierRequests === 0 ? proofIfOwn : "nothing";
}

export type SendFacts = {
    readonly requestId: string | undefined;
    /** Whether the request can safely be executed more than once. */
    readonly isRepeatable: boolean;
    /** Whether the upstream has sent a refusal without an id. */
    readonly refusesWithoutId: boolean;
};

/** Whether the request needs a new connection, because an answer without an id proves nothing on a reused one. */
export function requiresNewConnection({ requestId, isRepeatable, refusesWithoutId }: SendFacts): boolean {
    return requestId === undefined || (refusesWithoutId && !isRepeatable);
}
