/** Requests to cold upstreams: which need a grant, and who grants. */
export { type ColdGate, type ColdGateAccess, type ColdGrant, type ColdGrants, startColdGate } from "./coldGate";
