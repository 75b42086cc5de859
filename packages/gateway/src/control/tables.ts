/** The gateway's own tables in the platform's store. */

export const leaseTable = "rq-lease";
export const leaseKey = "planning";
/** One row a group, under the group's name. */
export const groupTable = "rq-groups";
/** One row a process, under its instance's name. */
export const instanceTable = "rq-instances";
