/** Submitting and reading change tickets. */
export { digestOf } from "./digest";
export { listTickets, readTicket, submitTicket } from "./ticketStore";
