/** The operators' door: tickets, status, metrics. */
export { type OperatorDoor, startOperatorDoor } from "./operatorDoor";
