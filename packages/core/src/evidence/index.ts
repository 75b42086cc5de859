/** Status reports of instances, from own probes and from peers, and whether a group may receive requests based on them. */
export { earliestSendingMs, type Sendings } from "./earliestSending";
export { type EvidenceBook, makeEvidenceBook } from "./evidenceBook";
export { type Evidence, judgeGroup, type Standing, type Surroundings } from "./judgeGroup";
export { type Finding, makeNewsLedger, type NewsLedger } from "./newsLedger";
