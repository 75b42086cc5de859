/** Runs a whole cluster under injected faults and checks the history of each run. */
export { type RoundResult, runRound } from "./round";
export { type Scenario, scenarios } from "./scenarios";
export { startWorld, type Testbed } from "./testbed";
