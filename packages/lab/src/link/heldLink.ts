/** A TCP way that can be held in each direction. Held bytes are kept and come late, as over a network that heals. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type HeldLink = {
    readonly port: number;
    /** Looks again at which directions are open. */
    readonly refresh: () => void;
    readonly close: () => void;
};

type Options = {
    readonly host: string;
    readonly targetPort: number;
    /** Whether bytes from the client at this address reach the target now. */
    readonly passesIn: (remoteAddress: string) => boolean;
    readonly passesOut: (remoteAddress: string) => boolean;
};

type Pair = { readonly near: Socket; readonly far: Socket; readonly remoteAddress: string };

export function startHeldLink({ host, targetPort, passesIn, passesOut }: Options): Promise<HeldLink> {
    const pairs = new Set<Pair>();
    const refreshPair = ({ near, far, remoteAddress }: Pair): void => {
        void (passesIn(remoteAddress) ? near.resume() : near.pause());
        void (passesOut(remoteAddress) ? far.resume() : far.pause());
    };
    const server = createServer({ pauseOnConnect: true }, near => {
        const far = connect({ host: "127.0.0.1", port: targetPort });
        const pair: Pair = { near, far, remoteAddress: near.remoteAddress ?? "" };
        pairs.add(pair);
        const drop = (): void => {
            pairs.delete(pair);
            near.destroy();
            far.destroy();
        };
        near.on("data", data => far.write(data));
        far.on("data", data => near.write(data));
        for (const socket of [near, far]) {
            socket.setNoDelay(true);
            socket.on("error", drop);
            socket.on("end", drop);
            socket.on("close", drop);
        }
        refreshPair(pair);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () =>
            resolve({
                port: (server.address() as AddressInfo).port,
                refresh: () => pairs.forEach(refreshPair),
                close: () => {
                    server.close();
                    pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
                },
            }));
    });
}
