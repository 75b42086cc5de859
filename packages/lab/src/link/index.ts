/** A loopback connection that can be cut. */
export { type Link, type LinkFault, startLink } from "./link";
