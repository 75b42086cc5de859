/** Control of a zone by whoever holds its lease: planning groups, sending orders, repairing. */
export { type Control, startControl } from "./controlTask";
