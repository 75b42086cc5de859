/** What both interfaces check of the answers of upstreams, before any of it reaches a caller. */
export { type AnswerParts, findHeadFault, hasMarkedEnd, isFinalStatus } from "./headFault";
export { detectReset } from "./resetDetection";
