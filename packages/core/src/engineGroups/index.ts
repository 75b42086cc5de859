/** Engine groups on the users' platform: judging, forming, opening and giving them up. */
export { chooseFormations, type Formation, type FormationLimits, makePressures } from "./chooseFormations";
export { chooseStaging, type Staging } from "./chooseStaging";
export { chooseTakeover, type Takeover } from "./chooseTakeover";
export {
    type AddressedEngineOrder,
    type FleetView,
    freeInstances,
    type GroupPlan,
    incarnationOf,
    type OrderResult,
    strayHeads,
} from "./fleetView";
export { type GroupPlanner, makeGroupPlanner, type OrderOutcome, type PlannerOptions } from "./groupPlanner";
export { type GroupCondition, judgeEngineGroup } from "./judgeEngineGroup";
export { type LoadLedger, makeLoadLedger } from "./loadLedger";
