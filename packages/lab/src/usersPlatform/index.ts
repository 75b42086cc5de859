/** Stand-ins of the users' platform, for tests of the adapter and of what runs behind it. */
export { startStoreStandIn, type StoreMood, type StoreStandIn } from "./storeStandIn";
export {
    type Answering,
    type Arrival,
    sealFor,
    soundAnswer,
    startUpstreamStandIn,
    streamAnswer,
    type UpstreamStandIn,
} from "./upstreamStandIn";
