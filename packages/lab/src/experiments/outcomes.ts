/** Runs every fault scenario of `proof` in turn on one cluster and counts outcomes and violations of the invariants. */
import { runRound, scenarios, startTestbed } from "../proof";
import { type Experiment, parseExperimentArgs, printResult } from "./experiment";

type ScenarioName = keyof typeof scenarios;

/** `--policy NAME` runs only the scenario of that name. */
export const outcomes: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const names = (Object.keys(scenarios) as ScenarioName[]).filter(name => policy === undefined || name === policy);
    const world = await startTestbed();
    const figures: Record<string, Record<string, number>> = {};
    try {
        for (const name of names) {
            const { violations, history } = await runRound(world, name, seed);
            violations.forEach(violation => process.stderr.write(`${name}: ${JSON.stringify(violation)}\n`));
            const count = (ending: string): number => history.answers.filter(answer => answer.ending === ending).length;
            figures[name] = {
                requestsCount: history.requests.length,
                runsCount: history.executions.length,
                answeredCount: count("answered"),
                notRunCount: count("notRun"),
                unknownCount: count("unknown"),
                noneCount: count("none"),
                violationsCount: violations.length,
            };
        }
    }
    finally {
        await world.stop();
    }
    printResult("outcomes", seed, figures);
    return Object.values(figures).every(({ violationsCount }) => violationsCount === 0) ? 0 : 1;
};
