/** Sends the request of an attempt: at once, or when its connection is open if a gate must permit it then. */
import { type ClientRequest } from "node:http";
import { type Socket } from "node:net";

/** Decides immediately before the bytes are written whether a request is sent, for services whose upstreams can be cold. */
export type Gate = {
    readonly maySend: () => boolean;
    /** Records that the upstream refused or reset the connection. */
    readonly noteConnectionLost: () => void;
};

export type SendEvents = {
    readonly hasEnded: () => boolean;
    readonly onSocket: (socket: Socket) => void;
    /** The connection is open: the upstream may get the request from now on. */
    readonly onSending: () => void;
    /** The gate refused: no byte was sent, and none will be. */
    readonly onHeldBack: () => void;
};

/** A body in the parts in which it is held. */
type BodyParts = readonly Buffer[];

/** Errors of a connection whose process has ended. A partition causes a timeout instead. */
const lostConnectionCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "ECONNRESET"]);

/** Call it before listening to errors: whether the attempt had ended before an error tells who broke the connection. */
export function sendRequest(
    client: ClientRequest,
    body: BodyParts,
    gate: Gate | undefined,
    events: SendEvents,
): void {
    let isNewConnection = true;
    client.on("socket", socket => {
        isNewConnection = socket.connecting;
        events.onSocket(socket);
        whenConnected(socket, () => {
            if (gate === undefined) {
                events.onSending();
            }
            else if (!client.destroyed) {
                passGate(client, body, gate, events);
            }
        });
    });
    if (gate === undefined) {
        writeBody(client, body);
        return;
    }
    client.on("error", error => {
        const { code = "" } = error as NodeJS.ErrnoException;
        // An upstream may close a kept connection at any time: only a new one tells of a restart.
        if (isNewConnection && !events.hasEnded() && lostConnectionCodes.has(code)) {
            gate.noteConnectionLost();
        }
    });
}

/** Opening a connection takes time, so the gate is asked only when nothing lies between its answer and the send. */
function passGate(client: ClientRequest, body: BodyParts, gate: Gate, { onSending, onHeldBack }: SendEvents): void {
    if (!gate.maySend()) {
        onHeldBack();
        return;
    }
    onSending();
    writeBody(client, body);
}

function writeBody(client: ClientRequest, body: BodyParts): void {
    body.slice(0, -1).forEach(part => client.write(part));
    client.end(body.at(-1));
}

function whenConnected(socket: Socket, action: () => void): void {
    if (socket.connecting) {
        socket.once("connect", action);
        return;
    }
    action();
}
