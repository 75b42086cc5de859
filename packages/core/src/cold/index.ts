/** Grants for requests to cold upstreams: the holder's ledger, and the rules of the processes that ask. */
export {
    type ColdGrantLedger,
    type GrantCounts,
    type GrantResult,
    type HeldTerm,
    makeColdGrantLedger,
    maxGrantsInWindow,
    maxLedgerUpstreams,
} from "./coldGrantLedger";
export {
    answerTimeoutMs,
    type ColdBound,
    coldLimit,
    grantDelayAfterTermStartMs,
    grantLapseMs,
    grantWindowMs,
    hasGrantLapsed,
    unansweredPauseMs,
} from "./coldTiming";
export { type ColdUpstreams, makeColdUpstreams } from "./coldUpstreams";
export { type GrantQuestions, makeGrantQuestions } from "./grantQuestions";
export { holderMaxAgeMs, type HolderView, makeHolderView, type ReportedHolder } from "./holderView";
export { makeTermStart, type TermStart } from "./termStart";
