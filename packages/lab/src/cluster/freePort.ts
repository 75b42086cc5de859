import { createServer } from "node:net";

const firstPort = 10_000;
const endPort = 32_768;
const given = new Set<number>();

/**
 * A port that was free a moment ago, below those that systems commonly give to outgoing connections: such a connection
 * could take the port before its program listens, or while that is being started again.
 */
export async function freePort(): Promise<number> {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * (endPort - firstPort));
        if (!given.has(port) && await canListen(port)) {
            given.add(port);
            return port;
        }
    }
}

function canListen(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
