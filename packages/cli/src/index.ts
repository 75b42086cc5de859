/** The command line as a function, so that tests can call it. */
export { runCommand } from "./runCommand";
