/** A stand-in for the operator's platform: table, instance list, weight store. */
export { type PlatformFault, type PlatformOptions, type PlatformStandIn, startPlatform } from "./platformStandIn";
