/**
 * Pools keep-alive connections to one incarnation of an upstream.
 *
 * A connection that receives bytes while idle is closed, so that they are never parsed as the answer to the next
 * request. An idle connection is closed before the upstream would close it. Requests whose answer proves nothing on a
 * connection with earlier requests get a connection of their own.
 */
import { Agent, type ClientRequest } from "node:http";
import { type Socket } from "node:net";

/** Connections close this long before the upstream's keep-alive timeout, so that no request races with its close. */
const closeEarlyMs = 1_000;
const maxIdleMs = 8_000;
const minIdleMs = 250;
const maxIdleConnections = 24;

export class ConnectionPool extends Agent {
    /** Opens a connection for each request and closes it afterwards. */
    private readonly single = new Agent({ keepAlive: false });
    private readonly requestCounts = new WeakMap<Socket, number>();
    private hasRefusedWithoutId = false;

    constructor() {
        super({ keepAlive: true, scheduling: "lifo", timeout: maxIdleMs, maxFreeSockets: maxIdleConnections });
    }

    /** Whether an idle connection is available. */
    hasIdle(): boolean {
        return Object.values(this.freeSockets).some(sockets => sockets !== undefined && sockets.length > 0);
    }

    /** The agent for one request. */
    agentFor(requiresNew: boolean): Agent {
        return requiresNew ? this.single : this;
    }

    /** Counts a request on its connection, and returns how many the connection carried before. */
    countRequest(socket: Socket): number {
        const earlier = this.requestCounts.get(socket) ?? 0;
        this.requestCounts.set(socket, earlier + 1);
        return earlier;
    }

    noteRefusalWithoutId(): void {
        this.hasRefusedWithoutId = true;
    }

    /** Whether the upstream has sent a refusal without an id. */
    refusesWithoutId(): boolean {
        return this.hasRefusedWithoutId;
    }

    override destroy(): void {
        this.single.destroy();
        super.destroy();
    }

    /** Called by Node when a request has finished with its connection. Returns whether to keep the connection. */
    override keepSocketAlive(socket: Socket): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (!isKept || socket.readableLength > 0) {
            return false;
        }
        socket.setTimeout(Math.max(minIdleMs, (socket.timeout ?? maxIdleMs) - closeEarlyMs));
        socket.on("data", dropConnection);
        return true;
    }

    /** Called by Node when an idle connection is assigned to a request. */
    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.off("data", dropConnection);
        super.reuseSocket(socket, request);
    }
}

function dropConnection(this: Socket): void {
    this.destroy();
}
