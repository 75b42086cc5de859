/** Schemas and types that the packages share: settings, tickets, rows, engine and peer messages, outcomes. */
export * from "./check";
export * from "./engine";
export * from "./fleet";
export * from "./gatewayPeer";
export * from "./hopHeaders";
export * from "./outcome";
export * from "./peer";
export * from "./rowKeys";
export * from "./rows";
export * from "./serving";
export * from "./settings";
export * from "./storePosition";
export * from "./table";
export * from "./ticket";
export * from "./usableRecord";
