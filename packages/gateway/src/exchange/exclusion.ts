/** Why a request gets no upstream: none serves it, all pause or are cold, or those that serve it may not get it. */
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { spreadRetryMs } from "./loadShedding";
import { candidatesOf, hasColdCandidate, pauseLeftMs, upstreamsInAnyZone, withinAllowedRegions } from "./placement";
import { type Refusal } from "./refusals";

/** Returns undefined if some upstream may get it, or if no upstream serves it at all. */
export function exclusionOf(
    admitted: AdmittedRequest,
    dependencies: ExchangeDependencies,
): Extract<Refusal, "evacuated" | "noAllowedRegion"> | undefined {
    if (candidatesOf(admitted, dependencies).length > 0) {
        return undefined;
    }
    const serving = upstreamsInAnyZone(admitted, dependencies);
    if (withinAllowedRegions(serving, admitted, dependencies).length > 0) {
        return "evacuated";
    }
    return serving.length > 0 ? "noAllowedRegion" : undefined;
}

/** The refusal of a request for which no upstream was found. `retryDelayMs` is undefined where the usual delay fits. */
export function refusalWithoutPlacement(
    admitted: AdmittedRequest,
    dependencies: ExchangeDependencies,
): { readonly refusal: Refusal; readonly retryDelayMs?: number } {
    const pauseMs = pauseLeftMs(admitted, dependencies);
    if (pauseMs !== undefined) {
        return { refusal: "paused", retryDelayMs: spreadRetryMs(pauseMs, dependencies) };
    }
    return hasColdCandidate(admitted, dependencies)
        ? { refusal: "coldLimited" }
        : { refusal: exclusionOf(admitted, dependencies) ?? "noUpstream" };
}
