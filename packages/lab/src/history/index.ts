/** What happened in a run, and whether it may have. */
export { checkHistory, type Violation } from "./checkHistory";
export { type Answer, type Execution, type History, type Request } from "./history";
export { appendExecution, readExecutions } from "./journal";
