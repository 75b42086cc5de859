/** The `rattanquay` program. */
import { runCommand } from "./runCommand";

void runCommand(process.argv.slice(2)).then(code => process.exit(code));
