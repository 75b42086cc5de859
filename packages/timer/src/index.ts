/** The one source of time: parts subscribe to it, and tests drive a virtual one. */
export { systemTimer } from "./systemTimer";
export { type Cancel, sleep, type Timer } from "./timer";
export { VirtualTimer } from "./virtualTimer";
