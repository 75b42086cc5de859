/** The recorded requests, answers and executions of a run, and the check of their invariants. */
export { checkHistory, type Violation } from "./checkHistory";
export { appendExecution, readExecutions } from "./executionFile";
export { type Answer, type Execution, type History, type Request } from "./history";
