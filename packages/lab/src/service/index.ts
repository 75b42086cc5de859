/** A stand-in for a plain service whose bookings may not be repeated. */
export { type ServiceFault, type ServiceStandIn, startService } from "./serviceStandIn";
