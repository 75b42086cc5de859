import { createServer } from "node:net";

const firstPort = 10_000;
const endPort = 32_768;
const assignedPorts = new Set<number>();

/**
 * Returns a port that was just free and was not returned before. It lies below the range that systems commonly use for
 * outgoing connections, because such a connection could take the port before its program listens or while the program
 * restarts.
 */
export async function freePort(): Promise<number> {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * (endPort - firstPort));
        if (!assignedPorts.has(port) && await canListen(port)) {
            assignedPorts.add(port);
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
