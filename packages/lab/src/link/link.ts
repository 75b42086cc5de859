/** A TCP proxy to a loopback port that resets, blocks or refuses connections according to its fault. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type LinkFault =
    | { readonly kind: "none" }
    /** A connection is reset once this many bytes of the caller have been forwarded; the rest never arrives. */
    | { readonly kind: "cutRequest"; readonly afterBytes: () => number }
    /** A connection is reset once this many bytes of the answer have been forwarded. */
    | { readonly kind: "cutAnswer"; readonly afterBytes: () => number }
    /** Connections are accepted, and nothing is forwarded in either direction. */
    | { readonly kind: "silent" }
    /** No connection is accepted. */
    | { readonly kind: "refused" };

export type Link = {
    readonly port: number;
    /** Applies to connections made from now on. */
    readonly setFault: (fault: LinkFault) => void;
    readonly stop: () => void;
};

export function startLink(targetPort: number): Promise<Link> {
    let fault: LinkFault = { kind: "none" };
    const sockets = new Set<Socket>();
    const server = createServer(caller => {
        const target = connect(targetPort, "127.0.0.1");
        [caller, target].forEach(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => sockets.delete(socket));
        });
        relay(caller, target, fault);
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            resolve({
                port,
                setFault: next => {
                    fault = next;
                    if (next.kind === "refused") {
                        server.close();
                    }
                    else if (!server.listening) {
                        server.listen(port, "127.0.0.1");
                    }
                },
                stop: () => {
                    server.close();
                    sockets.forEach(socket => socket.destroy());
                },
            });
        });
    });
}

function relay(caller: Socket, target: Socket, fault: LinkFault): void {
    const cut = (): void => {
        caller.resetAndDestroy();
        target.destroy();
    };
    caller.on("close", () => target.destroy());
    target.on("close", () => caller.destroy());
    if (fault.kind === "silent") {
        caller.resume();
        return;
    }
    forward(caller, target, fault.kind === "cutRequest" ? fault.afterBytes() : Infinity, cut);
    forward(target, caller, fault.kind === "cutAnswer" ? fault.afterBytes() : Infinity, cut);
}

/** Forwards at most `limit` bytes, and calls `cut` after the last of them have been written. */
function forward(from: Socket, to: Socket, limit: number, cut: () => void): void {
    let forwarded = 0;
    from.on("data", (data: Buffer) => {
        const part = data.subarray(0, limit - forwarded);
        forwarded += part.length;
        if (forwarded < limit) {
            to.write(part);
            return;
        }
        to.write(part, cut);
    });
    from.on("end", () => to.end());
}
