/** Clients of the operator's platform: its transactional table and its instance list. */
export { makeDynamoTable } from "./dynamoTable";
export { type InstanceSource, makeInstanceSource } from "./instanceSource";
export { type Condition, type Key, type Row, type Stored, type Table, type TableOutcome, type Write } from "./table";
