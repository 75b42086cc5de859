/** Stops waiting for a replica when the caller disconnects. */
import { type ServerResponse } from "node:http";
import { type AdmissionDecision, type Dispatch } from "../dispatch";

export type CallerAdmission = AdmissionDecision | { readonly kind: "callerGone" };

export const isCallerGone = (response: ServerResponse): boolean => response.destroyed && !response.writableFinished;

/** Resolves to `callerGone` when the caller disconnects first, and abandons the queued or started request. */
export async function admitUnlessCallerGone(
    response: ServerResponse,
    id: string,
    dispatch: Dispatch,
    requestAdmission: () => Promise<AdmissionDecision>,
): Promise<CallerAdmission> {
    if (isCallerGone(response)) {
        return { kind: "callerGone" };
    }
    let onClose = (): void => undefined;
    const callerGone = new Promise<CallerAdmission>(resolve => {
        onClose = () => resolve({ kind: "callerGone" });
        response.once("close", onClose);
    });
    const admission = await Promise.race([requestAdmission(), callerGone]);
    response.off("close", onClose);
    if (admission.kind === "callerGone") {
        dispatch.abandon(id);
    }
    return admission;
}
