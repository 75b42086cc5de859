/** Conditions of a send besides a placement: the time that this process still has, and the budget of retries. */
import { type AttemptCounts, consumesRetryBudget, mayTakeIn } from "@rattanquay/core";
import { type AdmittedRequest } from "./admittedRequest";
import { type ExchangeDependencies } from "./exchangeDependencies";
import { type Placement } from "./placement";

/** Whether the request is expected to end before this process does; true unless it is stopping. */
export function hasTimeInThisProcess(
    { endByMs }: AdmittedRequest,
    { predictedEndMs }: Placement,
    { lifetime, context: { timer } }: ExchangeDependencies,
): boolean {
    const stop = lifetime.stop();
    const nowMs = timer.nowMs();
    const expectedEndMs = predictedEndMs === undefined ? undefined : nowMs + predictedEndMs;
    return stop === undefined || mayTakeIn({ endByMs, expectedEndMs }, stop, nowMs);
}

/** Takes another attempt out of the retry budget, and returns whether it allows one; attempts that are not retries cost nothing. */
export function spendRetryBudget(
    { caller: { requestId } }: AdmittedRequest,
    sends: AttemptCounts,
    { budget, instances, context: { timer, log } }: ExchangeDependencies,
): boolean {
    const nowMs = timer.nowMs();
    if (!consumesRetryBudget(sends) || budget.trySpend(nowMs, instances())) {
        return true;
    }
    log.info("repeatRefused", { requestId, spent: budget.spent(nowMs) });
    return false;
}
