/** Every fault of the proof in turn on one cluster, with the endings that callers met and the violations found. */
import { runRound, scenarios, startWorld } from "../proof";
import { type Experiment, parseExperimentArgs, printResult } from "./experiment";

type Name = keyof typeof scenarios;

/** `--policy NAME` runs one scenario. */
export const outcomes: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const names = (Object.keys(scenarios) as Name[]).filter(name => policy === undefined || name === policy);
    const world = await startWorld();
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
