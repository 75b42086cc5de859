/** The `rattanquay` program. */
import { runCommand } from "./runCommand";

void runCommand(process.argv.slice(2)).then(code => {
    // Not by exit code alone: the channels that the tasks run on would keep the process waiting for ever.
    process.exit(code);
});
