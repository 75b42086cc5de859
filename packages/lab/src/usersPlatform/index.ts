/** Stand-ins for the users' platform, for tests of the adapter and of the gateway behind it. */
export { startStoreStandIn, type StoreBehavior, type StoreStandIn } from "./storeStandIn";
export {
    type AnswerHandler,
    makeStreamAnswer,
    type ReceivedRequest,
    sealHeaders,
    startUpstreamStandIn,
    type UpstreamStandIn,
    validAnswer,
} from "./upstreamStandIn";
