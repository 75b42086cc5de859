/** How long an instance needs to join a group of a model. */
import { type UpstreamRecord } from "@rattanquay/schema";
import { incarnationOf, type ServiceModel } from "./fleetView";

export type JoinCost = {
    readonly ms: number;
    /** Whether the weights must be loaded from the weight store, whose rate all instances share. */
    readonly needsLoad: boolean;
};

/** Time to join when the instance's last group served the same model: no weights are moved. */
const rejoinMs = 200;

/** `lastModels` maps each incarnation to the model of its last group. */
export function joinCost(
    record: UpstreamRecord,
    { model }: ServiceModel,
    lastModels: ReadonlyMap<string, string>,
): JoinCost {
    if (lastModels.get(incarnationOf(record)) === model.model) {
        return { ms: rejoinMs, needsLoad: false };
    }
    return record.stagedModels.includes(model.model)
        ? { ms: model.warmupMs, needsLoad: false }
        : { ms: model.loadMs, needsLoad: true };
}
