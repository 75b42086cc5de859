/** Seeded randomness, so that a run can be made again. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

const steps = 2 ** 31;

/** Numbers in [0, 1), the same for the same seed. */
export function seededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}
