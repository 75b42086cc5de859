/** Addresses as they are written in rows and settings. */

export type HostPort = { readonly host: string; readonly port: number };

/** The parts of `HOST:PORT`. */
export function splitAddress(address: string): HostPort {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
