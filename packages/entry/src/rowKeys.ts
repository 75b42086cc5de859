/** Keys of rows in the platform's table. */
import { type RowKey } from "@rattanquay/schema";

export {
    configHeadKey,
    configPartition,
    groupKey,
    instanceKey,
    leaseKey,
    subjectKey,
    ticketKey,
    ticketPartition,
    ticketSlotKey,
    zoneHeadKey,
    zonePartition,
} from "@rattanquay/schema";

export const claimKey = (service: string, workspace: string, key: string): RowKey => ({
    partition: `claims/${service}/${workspace}`,
    key,
});
