/** Control of a zone: lease, plan, transactions and orders as commands and outcomes. */
export { type AddressedOrder } from "./orders";
export {
    type Command,
    type Instant,
    makeZoneControl,
    type Outcome,
    type ZoneControl,
    type ZoneControlOptions,
    type ZoneNews,
} from "./zoneControl";
