/** Resolves to true as soon as one of the promises does, and to false once all have resolved to false. */
export async function anyTrue(promises: readonly Promise<boolean>[]): Promise<boolean> {
    const failUnlessTrue = async (promise: Promise<boolean>): Promise<true> => {
        if (!await promise) {
            throw new Error("false");
        }
        return true;
    };
    return Promise.any(promises.map(failUnlessTrue)).catch(() => false);
}
