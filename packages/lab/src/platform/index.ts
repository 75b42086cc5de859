/** A stand-in for the operator's platform: a table, an instance list and a weight store. */
export { type PlatformFault, type PlatformOptions, type PlatformStandIn, startPlatform } from "./platformStandIn";
