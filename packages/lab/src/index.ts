/** Stand-ins for outside systems, test clusters and load generation, for use by tests in other packages. */
export * from "./cluster";
export * from "./engine";
export * from "./link";
export * from "./load";
export * from "./platform";
export * from "./service";
export * from "./traces";
export * from "./usersPlatform";
