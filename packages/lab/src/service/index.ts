/** A stand-in for an HTTP service whose calls are not idempotent: each one adds a booking. */
export { type ServiceFault, type ServiceStandIn, startService } from "./serviceStandIn";
