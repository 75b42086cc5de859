/** The entry instance, which can run as its own process or embedded in another. */
export { readHead, readSnapshot } from "./config";
export { type Entry, type EntryOptions, startEntry, type StopResult } from "./entry";
export { hashKey } from "./keys";
export { digestOf, submitTicket } from "./tickets";
