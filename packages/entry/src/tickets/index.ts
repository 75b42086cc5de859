/** Submitting and reading change tickets. */
export { digestOf } from "./digest";
export { type Accepted } from "./ground";
export { listTickets, readTicket, submitTicket } from "./ticketStore";
