/**
 * TCP proxies between processes: a network of zones for partitions, and a link for faults of single connections, such
 * as a reset in the middle of a message.
 */
export { type Link, type LinkFault, startLink } from "./link";
export { type Connectivity, makeNetwork, type Network, outsideLocation, platformLocation } from "./network";
export { type SlowLink, startSlowLink } from "./slowLink";
