/** The operators' HTTP interface: tickets, status, metrics. */
export { type OperatorListener, startOperatorListener } from "./operatorListener";
