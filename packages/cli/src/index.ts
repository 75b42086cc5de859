/** The command line as a function that tests can call. */
export { runCommand } from "./runCommand";
