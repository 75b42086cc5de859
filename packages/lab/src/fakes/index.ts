/** Fakes at the interfaces of the decisions, in virtual time. */
export { type TableFault } from "./fakeController";
export { type FakeEngine, neverReadyVersion } from "./fakeEngine";
export { FakeTable } from "./fakeTable";
export { bestPolicies, fakeService, FakeZone, fakeZoneName, type FakeZoneSpec, seededRandom } from "./fakeZone";
export { applyFault, heal, type ZoneFault, zoneFaultNames } from "./zoneFaults";
