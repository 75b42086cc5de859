/** Zone control: turns the lease, the plan, transactions and orders into commands and handles their outcomes. */
export { type CallContext } from "./instant";
export { type AddressedOrder } from "./orders";
export {
    type Command,
    makeZoneControl,
    type Outcome,
    type ZoneControl,
    type ZoneControlOptions,
    type ZoneState,
} from "./zoneControl";
