/** What every part that speaks HTTP needs: listeners, bodies, addresses. */
export { openListener, portOf, tlsOptions } from "./listener";
export { type Body, type BodyBounds, readBody } from "./readBody";
export { type HostPort, splitAddress } from "./splitAddress";
