/** The gateway's tables in the platform's store. */

export const leaseTable = "rq-lease";
export const leaseKey = "planning";
/** One row for each group, with the group's name as key. */
export const groupTable = "rq-groups";
/** One row that lists the weight loads in progress. */
export const loadTable = "rq-loads";
export const loadKey = "all";
/** One row for each gateway process, with its instance name as key. */
export const instanceTable = "rq-instances";
