/** Opens connections to peers and accepts theirs, with TLS if it is configured. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { connect as connectSecurely, createServer as createSecureServer, type TlsOptions } from "node:tls";

export type PeerListener = { readonly port: number; readonly close: () => void };

type ListenerOptions = {
    readonly host: string;
    readonly port: number;
    readonly tls?: TlsOptions;
    readonly onSocket: (socket: Socket) => void;
};

/** Resolves when the listener is bound; rejects if the address cannot be bound. */
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

/** Starts to connect to `host:port`. Failures are reported as events of the socket. */
export function dial(address: string, { tls, localAddress }: DialOptions = {}): Socket {
    const colon = address.lastIndexOf(":");
    const target = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)), localAddress };
    return tls === undefined
        ? connect(target)
        : connectSecurely({
            ...target,
            ca: tls.ca,
            cert: tls.cert,
            key: tls.key,
            // Peers are addressed by IP, so they are authenticated by the CA and the shared secret, not by a host name.
            checkServerIdentity: () => undefined,
        });
}
