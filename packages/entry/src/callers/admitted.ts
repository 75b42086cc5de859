/** Waiting for a replica no longer than the caller waits. */
import { type ServerResponse } from "node:http";
import { type Dispatch, type Grant } from "../dispatch";

export type Admission = Grant | { readonly kind: "callerGone" };

export const isGone = (response: ServerResponse): boolean => response.destroyed && !response.writableFinished;

/** The grant, unless the caller leaves first: then the place, had or waited for, is given back. */
export async function admittedUnlessGone(
    response: ServerResponse,
    id: string,
    dispatch: Dispatch,
    ask: () => Promise<Grant>,
): Promise<Admission> {
    if (isGone(response)) {
        return { kind: "callerGone" };
    }
    let leave = (): void => undefined;
    const gone = new Promise<Admission>(resolve => {
        leave = () => resolve({ kind: "callerGone" });
        response.once("close", leave);
    });
    const admission = await Promise.race([ask(), gone]);
    response.off("close", leave);
    if (admission.kind === "callerGone") {
        dispatch.abandon(id);
    }
    return admission;
}
