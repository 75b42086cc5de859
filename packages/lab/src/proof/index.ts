/** Runs of a whole cluster under faults, with the history of each. */
export { type Round, runRound } from "./round";
export { type Scenario, scenarios } from "./scenarios";
export { startWorld, type World } from "./world";
