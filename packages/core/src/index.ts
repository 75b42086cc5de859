/** Decision logic without I/O. Times, random numbers and rows are passed in as values; decisions are returned as values. */
export * from "./admission";
export * from "./callerBytes";
export * from "./cold";
export * from "./config";
export * from "./control";
export * from "./engineGroups";
export * from "./evidence";
export * from "./groups";
export * from "./lease";
export * from "./membership";
export * from "./outcomes";
export * from "./quarantine";
export * from "./routing";
export * from "./serving";
export * from "./stateSource";
export * from "./tickets";
