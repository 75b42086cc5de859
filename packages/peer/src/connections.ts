/** Opens connections to peers and listens for theirs, with TLS when it is given. */
import { splitAddress } from "@rattanquay/http";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { connect as connectSecurely, createServer as createSecureServer, type TlsOptions } from "node:tls";

export type PeerListener = { readonly port: number; readonly close: () => void };

type ListenerOptions = {
    readonly host: string;
    readonly port: number;
    readonly tls?: TlsOptions;
    readonly onSocket: (socket: Socket) => void;
};

/** Resolves when the listener is bound; rejects when the address cannot be had. */
export function startPeerListener({ host, port, tls, onSocket }: ListenerOptions): Promise<PeerListener> {
    const server: Server = tls === undefined ? createServer(onSocket) : createSecureServer(tls, onSocket);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            server.on("error", () => undefined);
            resolve({ port: (server.address() as AddressInfo).port, close: () => server.close() });
        });
    });
}

type DialOptions = { readonly tls?: TlsOptions; readonly localAddress?: string };

/** Begins a connection to `host:port`; failures show as events of the socket. */
export function dial(address: string, { tls, localAddress }: DialOptions = {}): Socket {
    const target = { ...splitAddress(address), localAddress };
    return tls === undefined
        ? connect(target)
        : connectSecurely({
            ...target,
            ca: tls.ca,
            cert: tls.cert,
            key: tls.key,
            // Peers are named by IP numbers, so the authority and the shared secret vouch for them, not a host name.
            checkServerIdentity: () => undefined,
        });
}
