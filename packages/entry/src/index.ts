/** The entry instance: one program for all duties, to be run as a process or embedded. */
export { readHead, readSnapshot } from "./config";
export { type Entry, type EntryOptions, startEntry, type Stop } from "./entry";
export { hashKey } from "./keys";
export { digestOf, submitTicket } from "./tickets";
