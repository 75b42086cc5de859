/** Ways between processes: between zones, to be cut and healed, and single connections, to be cut half way. */
export { type Link, type LinkFault, startLink } from "./link";
export { makeNetwork, type Network, outside, type Passes, platformPlace } from "./network";
