/** Workloads: their file format and the calls drawn from them. */
export { makeSchedule, meanTokens, rateAt, type ScheduledCall, seededRandom } from "./schedule";
export { Workload } from "./workload";
