/** Keeping the configuration in force here. */
export { type Configuration, startConfig } from "./configTask";
