/** Decisions without input or output. Clocks, randomness and rows come in as values; decisions go out as values. */
export * from "./admission";
export * from "./config";
export * from "./control";
export * from "./engineGroups";
export * from "./evidence";
export * from "./groups";
export * from "./lease";
export * from "./membership";
export * from "./outcomes";
export * from "./routing";
export * from "./serving";
export * from "./tickets";
