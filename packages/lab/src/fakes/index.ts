/** Fakes of the engines, the table and a whole zone, in virtual time, that run the real control logic. */
export { type TableFault } from "./fakeController";
export { type FakeEngine, neverReadyVersion } from "./fakeEngine";
export { FakeTable } from "./fakeTable";
export { defaultPolicies, fakeService, FakeZone, fakeZoneName, type FakeZoneSpec, seededRandom } from "./fakeZone";
export { applyFault, clearFaults, type ZoneFault, zoneFaultNames } from "./zoneFaults";
