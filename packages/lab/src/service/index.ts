/** A stand-in for a plain service whose bookings may not be repeated. */
export { type ServiceStandIn, startService } from "./serviceStandIn";
