/** Submits and reads change tickets. */
export { digestOf } from "./digest";
export { type AcceptedTicket } from "./ticketContext";
export { defaultKeptTickets, listTickets, readTicket, submitTicket } from "./ticketStore";
