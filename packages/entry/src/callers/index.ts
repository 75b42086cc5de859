/** The callers' door: authentication, routing by path, errors, and the relays to upstreams. */
export { type CallerDoor, startCallerDoor } from "./callerDoor";
