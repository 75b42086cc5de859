/**
 * A TCP proxy that can be paused in each direction. A paused direction keeps its bytes and delivers them late, as a
 * network does when a partition ends.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type PausableLink = {
    readonly port: number;
    /** Asks again which directions are open, and pauses or resumes every connection accordingly. */
    readonly refresh: () => void;
    readonly close: () => void;
};

type Options = {
    readonly host: string;
    readonly targetPort: number;
    /** Whether bytes from the client at this address are passed on to the target now. */
    readonly isInboundOpen: (clientAddress: string) => boolean;
    /** Whether bytes from the target are passed on to the client at this address now. */
    readonly isOutboundOpen: (clientAddress: string) => boolean;
};

type Connection = { readonly client: Socket; readonly target: Socket; readonly clientAddress: string };

export function startPausableLink({ host, targetPort, isInboundOpen, isOutboundOpen }: Options): Promise<PausableLink> {
    const connections = new Set<Connection>();
    const applyState = ({ client, target, clientAddress }: Connection): void => {
        void (isInboundOpen(clientAddress) ? client.resume() : client.pause());
        void (isOutboundOpen(clientAddress) ? target.resume() : target.pause());
    };
    const server = createServer({ pauseOnConnect: true }, client => {
        const target = connect({ host: "127.0.0.1", port: targetPort });
        const connection: Connection = { client, target, clientAddress: client.remoteAddress ?? "" };
        connections.add(connection);
        const drop = (): void => {
            connections.delete(connection);
            client.destroy();
            target.destroy();
        };
        client.on("data", data => target.write(data));
        target.on("data", data => client.write(data));
        for (const socket of [client, target]) {
            socket.setNoDelay(true);
            socket.on("error", drop);
            socket.on("end", drop);
            socket.on("close", drop);
        }
        applyState(connection);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () =>
            resolve({
                port: (server.address() as AddressInfo).port,
                refresh: () => connections.forEach(applyState),
                close: () => {
                    server.close();
                    connections.forEach(({ client, target }) => [client, target].forEach(socket => socket.destroy()));
                },
            }));
    });
}
