/** Stand-ins for the users' platform, for tests of the adapter and of the gateway behind it. */
export { startStoreStandIn, type StoreBehavior, type StoreStandIn } from "./storeStandIn";
export {
    type Answering,
    type ReceivedRequest,
    sealFor,
    soundAnswer,
    startUpstreamStandIn,
    streamAnswer,
    type UpstreamStandIn,
} from "./upstreamStandIn";
