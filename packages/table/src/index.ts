/** The operator's platform behind one narrow interface. */
export { makeDynamoTable } from "./dynamoTable";
export { type InstanceSource, makeInstanceSource } from "./instanceSource";
export { type Condition, type Key, type Row, type Stored, type Table, type TableOutcome, type Write } from "./table";
