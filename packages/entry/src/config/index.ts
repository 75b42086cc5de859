/** Keeps this process's configuration up to date. */
export { type ConfigTask, type Configuration, startConfig } from "./configTask";
export { readHead, readSnapshot } from "./readConfig";
