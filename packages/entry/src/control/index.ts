/** Controls a zone while this process holds its lease: plans groups, sends orders, repairs. */
export { type Control, startControl } from "./controlTask";
