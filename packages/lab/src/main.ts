/** Entry point of `rattanquay-lab`, which runs stand-ins, load generators, fault commands and experiments. */
import { runLabCommand } from "./runLabCommand";

void runLabCommand(process.argv.slice(2)).then(code => {
    if (code !== undefined) {
        process.exit(code);
    }
});
