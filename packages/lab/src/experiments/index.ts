/** The experiments by the names that `rattanquay-lab experiment` takes. */
import { crest } from "./crest";
import { cut } from "./cut";
import { type Experiment, printUsage } from "./experiment";
import { groupLoss } from "./groupLoss";
import { hol } from "./hol";
import { outcomes } from "./outcomes";
import { overhead } from "./overhead";
import { slopes } from "./slopes";
import { slowReplica } from "./slowReplica";
import { staleReports } from "./staleReports";
import { ticket } from "./ticket";

const experiments: Readonly<Record<string, Experiment>> = {
    crest,
    cut,
    "group-loss": groupLoss,
    hol,
    outcomes,
    overhead,
    slopes,
    "slow-replica": slowReplica,
    "stale-reports": staleReports,
    ticket,
};

/** Runs the experiment that the first argument names, which prints its result as the last line of its output. */
export async function runExperiment(args: readonly string[]): Promise<number> {
    const experiment = experiments[args[0] ?? ""];
    return experiment === undefined ? printUsage(Object.keys(experiments)) : experiment(args.slice(1));
}
