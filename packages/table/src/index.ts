/** Clients of the operator's platform: its transactional table and its instance list. */
export { makeDynamoTable } from "./dynamoTable";
export { type InstanceListClient, makeInstanceListClient } from "./instanceListClient";
export {
    type Condition,
    type KeyedRow,
    type Row,
    type RowKey,
    type Table,
    type TableOutcome,
    type Write,
} from "./table";
