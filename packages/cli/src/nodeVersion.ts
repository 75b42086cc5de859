/** Checks the Node version that runs the program against the versions that CI runs on. */

/** As in `engines` of the root package.json. */
const supported = { major: 20, minMinor: 19 } as const;

/** Returns what is wrong with a version such as "20.19.0", and what to install; undefined for a supported one. */
export function findNodeVersionFault(version: string): string | undefined {
    const [major = 0, minor = 0] = version.split(".").map(Number);
    return major === supported.major && minor >= supported.minMinor
        ? undefined
        : `rattanquay runs on Node ${supported.major}.${supported.minMinor} and later versions of ${supported.major}, and this is ${version}: install one of these.`;
}
