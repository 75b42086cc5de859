import { type Experiment } from "./experiment";

export const overhead: Experiment = async () => 1;
