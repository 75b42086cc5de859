/** The `rattanquay` program. */
import { exitCodes } from "./exitCodes";
import { findNodeVersionFault } from "./nodeVersion";
import { printError } from "./output";
import { runCommand } from "./runCommand";

const versionFault = findNodeVersionFault(process.versions.node);
if (versionFault !== undefined) {
    printError(versionFault);
    process.exit(exitCodes.usage);
}
void runCommand(process.argv.slice(2)).then(code => {
    // Setting process.exitCode is not enough: the channels of the tasks would keep the process alive.
    process.exit(code);
});
