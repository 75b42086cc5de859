/** Where an update came from. */
export type Origin = "store" | "peer";
