/** Seeded pseudorandom numbers, for reproducible runs. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

const valueCount = 2 ** 31;

/** Returns a generator of numbers in [0, 1) whose sequence depends only on the seed. */
export function seededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, valueCount - 1, generator) / valueCount;
}
