/** Keeping the configuration in force here. */
export { type Config, type Configuration, startConfig } from "./configTask";
export { readHead, readSnapshot } from "./readConfig";
