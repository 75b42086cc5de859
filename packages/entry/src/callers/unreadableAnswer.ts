/** Logs answers of upstreams that are none, or that no caller may get. */
import { type ProcessContext } from "../processContext";
import { type Exchange } from "./exchange";

type Result = { readonly kind: string; readonly fault?: string | undefined };

/** Writes a line if the attempt at `upstream` failed because its answer could not be read. */
export function logUnreadableAnswer(
    { fault }: Result,
    { requestId }: Exchange,
    upstream: string,
    { log }: Pick<ProcessContext, "log">,
): void {
    if (fault !== undefined) {
        log.warn("answerUnreadable", { requestId, upstream, fault });
    }
}
