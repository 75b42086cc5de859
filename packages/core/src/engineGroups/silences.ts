/** Which instances have fallen silent, and how many at about the same time: crashes come in ones and twos, a cut parts many. */
import { type FleetView } from "./fleetView";

/** `together`: how many fell silent at about that time, this one among them, whatever became of them since. */
export type Silence = { readonly sinceMs: number; together: number };

/** Silences noticed within this time of each other may have one cause: instances are asked a little apart. */
const togetherMs = 700;
const silencesKeptMs = 60_000;

/** Silences stay known after the entries are gone, until the instance answers again. */
export function noteSilences(
    { nowMs, upstreams, unreachable }: FleetView,
    silences: Map<string, Silence>,
): void {
    for (const [id, { sinceMs }] of silences) {
        const answers = upstreams.has(id) && !unreachable.has(id);
        if (answers || nowMs - sinceMs > silencesKeptMs) {
            silences.delete(id);
        }
    }
    for (const id of unreachable) {
        if (!silences.has(id)) {
            const others = [...silences.values()].filter(({ sinceMs }) => nowMs - sinceMs <= togetherMs);
            others.forEach(other => other.together++);
            silences.set(id, { sinceMs: nowMs, together: others.length + 1 });
        }
    }
}
