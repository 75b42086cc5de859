/** Keys of rows in the platform's table. */
import { type Key } from "@rattanquay/schema";

export {
    configPartition,
    groupKey,
    headKey,
    instanceKey,
    leaseKey,
    slotKey,
    subjectKey,
    ticketKey,
    ticketPartition,
    zoneHeadKey,
    zonePartition,
} from "@rattanquay/schema";

export const claimKey = (service: string, workspace: string, key: string): Key => ({
    partition: `claims/${service}/${workspace}`,
    key,
});
