/** Takes a random sample of up to `count` items without replacement. */
export function sample<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const left = [...items];
    return Array.from(
        { length: Math.min(count, left.length) },
        () => left.splice(Math.floor(random() * left.length), 1)[0]!,
    );
}
