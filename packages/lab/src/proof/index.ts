/** Runs a whole cluster under injected faults and checks the history of each run. */
export { type RoundResult, runRound } from "./round";
export { type Scenario, scenarios } from "./scenarios";
export { startTestbed, type Testbed } from "./testbed";
