/** Whether a group may be given work, judged by evidence alone. */
export { type Evidence, judgeGroup, type Standing, type Surroundings } from "./judgeGroup";
