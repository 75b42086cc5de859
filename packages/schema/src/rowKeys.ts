/** Partitions and keys of the rows in the platform's table. */
import { type RowKey } from "./table";

/** The partition of the configuration's subjects. */
export const configPartition = "config";

/** The partition of a zone's groups and instance owners. */
export const zonePartition = (availabilityZone: string): string => `zone/${availabilityZone}`;

export const configHeadKey: RowKey = { partition: "head", key: "config" };

export const ticketPartition = "tickets";

export const ticketKey = (ticket: number): RowKey => ({
    partition: ticketPartition,
    key: String(ticket).padStart(12, "0"),
});

/** The row that holds the number of the ticket accepted at a revision, until the slot is reused. */
export const ticketSlotKey = (slot: number): RowKey => ({ partition: "ticketSlots", key: String(slot) });

export const subjectKey = (subject: string): RowKey => ({ partition: configPartition, key: subject });

export const zoneHeadKey = (availabilityZone: string): RowKey => ({
    partition: "head",
    key: zonePartition(availabilityZone),
});

export const leaseKey = (availabilityZone: string): RowKey => ({ partition: "lease", key: availabilityZone });

export const groupKey = (availabilityZone: string, group: string): RowKey => ({
    partition: zonePartition(availabilityZone),
    key: `group/${group}`,
});

export const instanceKey = (availabilityZone: string, instance: string): RowKey => ({
    partition: zonePartition(availabilityZone),
    key: `instance/${instance}`,
});
