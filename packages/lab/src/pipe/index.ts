/** A minimal HTTP proxy in Node: the baseline for measurements of the entry instance's overhead. */
export { startPipe, targetIndexHeader } from "./pipe";
