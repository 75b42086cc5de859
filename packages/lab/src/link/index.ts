/** Ways between processes that can be cut and healed. */
export { type Link, startLink } from "./cuttableLink";
export { makeNetwork, type Network, outside, type Passes, platformPlace } from "./network";
