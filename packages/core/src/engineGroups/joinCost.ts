/** How long an instance needs to join a group of a model. */
import { type UpstreamRecord } from "@rattanquay/schema";
import { incarnationOf, type Offer } from "./fleetView";

export type JoinCost = {
    readonly ms: number;
    /** Whether weights come from the store, whose rate all share. */
    readonly needsLoad: boolean;
};

/** A member of the same model's group rejoins without moving weights. */
const rejoinMs = 200;

/** `lastModels` holds the model of each incarnation's last group. */
export function joinCost(
    record: UpstreamRecord,
    { model }: Offer,
    lastModels: ReadonlyMap<string, string>,
): JoinCost {
    if (lastModels.get(incarnationOf(record)) === model.model) {
        return { ms: rejoinMs, needsLoad: false };
    }
    return record.stagedModels.includes(model.model)
        ? { ms: model.warmupMs, needsLoad: false }
        : { ms: model.loadMs, needsLoad: true };
}
