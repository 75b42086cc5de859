/** The `rattanquay-lab` program: stand-ins, load, faults and experiments. */
import { runLabCommand } from "./runLabCommand";

void runLabCommand(process.argv.slice(2)).then(code => {
    if (code !== undefined) {
        process.exit(code);
    }
});
