/** Partitions and keys of the rows in the platform's table. */
import { type Key } from "./table";

/** The partition of the configuration's subjects. */
export const configPartition = "config";

/** The partition of a zone's groups and instance owners. */
export const zonePartition = (availabilityZone: string): string => `zone/${availabilityZone}`;

export const headKey: Key = { partition: "head", key: "config" };

export const ticketPartition = "tickets";

export const ticketKey = (ticket: number): Key => ({
    partition: ticketPartition,
    key: String(ticket).padStart(12, "0"),
});

/** The row that holds the number of the ticket accepted at a revision, until the slot is reused. */
export const slotKey = (slot: number): Key => ({ partition: "ticketSlots", key: String(slot) });

export const subjectKey = (subject: string): Key => ({ partition: configPartition, key: subject });

export const zoneHeadKey = (availabilityZone: string): Key => ({
    partition: "head",
    key: zonePartition(availabilityZone),
});

export const leaseKey = (availabilityZone: string): Key => ({ partition: "lease", key: availabilityZone });

export const groupKey = (availabilityZone: string, group: string): Key => ({
    partition: zonePartition(availabilityZone),
    key: `group/${group}`,
});

export const instanceKey = (availabilityZone: string, instance: string): Key => ({
    partition: zonePartition(availabilityZone),
    key: `instance/${instance}`,
});
