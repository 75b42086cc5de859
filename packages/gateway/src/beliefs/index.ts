/** What the process believes, and how it learns it. */
export { type Beliefs, type Dated, makeBeliefs, type Origin, type RemovedId } from "./beliefs";
export { startBeliefs, type Watched } from "./startBeliefs";
export { type TableWatch, watchTable } from "./tableWatch";
