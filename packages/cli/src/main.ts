/** The `rattanquay` program. */
import { runCommand } from "./runCommand";

void runCommand(process.argv.slice(2)).then(code => {
    // Setting process.exitCode is not enough: the channels of the tasks would keep the process alive.
    process.exit(code);
});
