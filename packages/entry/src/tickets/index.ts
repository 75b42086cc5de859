/** Submits and reads change tickets. */
export { digestOf } from "./digest";
export { type AcceptedTicket } from "./ticketContext";
export { listTickets, readTicket, submitTicket } from "./ticketStore";
