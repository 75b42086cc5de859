/** The only source of time: other packages get the time and schedule actions here. Tests use a virtual timer. */
export { systemTimer } from "./systemTimer";
export { type Cancel, sleep, type Timer } from "./timer";
export { VirtualTimer } from "./virtualTimer";
