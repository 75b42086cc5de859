import { type EntryListing, type Instance, type InstanceList } from "@rattanquay/schema";
import { systemTimer } from "@rattanquay/timer";

/** The platform's list of instances and entry instances, which shows changes only after a delay. */
export type LaggingList = {
    readonly published: () => InstanceList;
    readonly putInstance: (instance: Instance) => void;
    readonly dropInstance: (instance: string) => void;
    readonly putEntry: (entry: EntryListing) => void;
};

export function makeLaggingList(lagMs: number): LaggingList {
    const instances = new Map<string, Instance>();
    const entries = new Map<string, EntryListing>();
    let published: InstanceList = { instances: [], entries: [] };

    const publishLater = (): void => {
        systemTimer.after(lagMs, () => {
            published = { instances: [...instances.values()], entries: [...entries.values()] };
        });
    };

    return {
        published: () => published,
        putInstance: instance => {
            instances.set(instance.instance, instance);
            publishLater();
        },
        dropInstance: instance => {
            instances.delete(instance);
            publishLater();
        },
        putEntry: entry => {
            entries.set(entry.process, entry);
            publishLater();
        },
    };
}
