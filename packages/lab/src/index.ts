/** Stand-ins, load, faults and experiments as functions. */
export * from "./cluster";
export * from "./engine";
export * from "./link";
export * from "./load";
export * from "./platform";
export * from "./service";
export * from "./traces";
export * from "./usersPlatform";
