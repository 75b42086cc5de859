/** Control of a zone: lease, plan, transactions and orders as commands and outcomes. */
export { type Instant } from "./instant";
export { type AddressedOrder } from "./orders";
export {
    type Command,
    makeZoneControl,
    type Outcome,
    type ZoneControl,
    type ZoneControlOptions,
    type ZoneNews,
} from "./zoneControl";
