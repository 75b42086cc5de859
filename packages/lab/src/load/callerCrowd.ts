/**
 * Clients that ignore what a listener can bear. Each writes the parts of its script as fast as its connection takes them, and
 * then stays open until the crowd ends.
 */
import { sleep, systemTimer } from "@rattanquay/timer";
import { connect, type Socket } from "node:net";

export type CrowdScript = {
    readonly clients: number;
    /** What one client writes, in order; the same for all. An endless one ends when its connection is closed. */
    readonly parts: () => Iterable<Buffer>;
    /** Time between two parts, in milliseconds; none if omitted. */
    readonly pauseMs?: number;
    /** Whether the client reads what it is sent. */
    readonly reads: boolean;
    /** Resets the connection after the last part, and opens another, so many times. */
    readonly resets?: number;
};

export type Crowd = {
    /** Resolves when every client has written all its parts or has lost its connection. */
    readonly written: Promise<void>;
    readonly close: () => void;
};

export function startCrowd(host: string, port: number, script: CrowdScript): Crowd {
    const sockets = new Set<Socket>();
    const isOver = { value: false };
    const written = Array.from({ length: script.clients }, async () => {
        for (let left = script.resets ?? 0; !isOver.value; left--) {
            const socket = open(host, port, script, sockets);
            await writeParts(socket, script);
            if (left <= 0) {
                return;
            }
            socket.resetAndDestroy();
        }
    });
    return {
        written: Promise.all(written).then(() => undefined),
        close: () => {
            isOver.value = true;
            sockets.forEach(socket => socket.destroy());
        },
    };
}

function open(host: string, port: number, { reads }: CrowdScript, sockets: Set<Socket>): Socket {
    const socket = connect(port, host);
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    if (reads) {
        socket.resume();
    }
    else {
        socket.pause();
    }
    return socket;
}

async function writeParts(socket: Socket, { parts, pauseMs }: CrowdScript): Promise<void> {
    for (const part of parts()) {
        if (socket.destroyed) {
            return;
        }
        if (!socket.write(part)) {
            await drained(socket);
        }
        if (pauseMs !== undefined) {
            await sleep(systemTimer, pauseMs);
        }
    }
}

function drained(socket: Socket): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            socket.off("drain", done);
            socket.off("close", done);
            resolve();
        };
        socket.once("drain", done);
        socket.once("close", done);
    });
}
