/** Passes TCP connections on to a port of loopback, and cuts or mutes them as told. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type LinkFault =
    | { readonly kind: "none" }
    /** A connection is reset once this many bytes have passed from the caller; the rest never arrives. */
    | { readonly kind: "cutRequest"; readonly afterBytes: () => number }
    /** A connection is reset once this many bytes of the answer have passed. */
    | { readonly kind: "cutAnswer"; readonly afterBytes: () => number }
    /** Connections are taken, and nothing passes in either direction. */
    | { readonly kind: "silent" }
    /** No connection is taken. */
    | { readonly kind: "refused" };

export type Link = {
    readonly port: number;
    /** Holds for connections made from now on. */
    readonly setFault: (fault: LinkFault) => void;
    readonly stop: () => void;
};

export function startLink(targetPort: number): Promise<Link> {
    let fault: LinkFault = { kind: "none" };
    const sockets = new Set<Socket>();
    const server = createServer(near => {
        const far = connect(targetPort, "127.0.0.1");
        [near, far].forEach(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => sockets.delete(socket));
        });
        join(near, far, fault);
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

function join(near: Socket, far: Socket, fault: LinkFault): void {
    const cut = (): void => {
        near.resetAndDestroy();
        far.destroy();
    };
    near.on("close", () => far.destroy());
    far.on("close", () => near.destroy());
    if (fault.kind === "silent") {
        near.resume();
        return;
    }
    pass(near, far, fault.kind === "cutRequest" ? fault.afterBytes() : Infinity, cut);
    pass(far, near, fault.kind === "cutAnswer" ? fault.afterBytes() : Infinity, cut);
}

/** Passes at most `limit` bytes; the last of them are handed over before the cut. */
function pass(from: Socket, to: Socket, limit: number, cut: () => void): void {
    let passed = 0;
    from.on("data", (data: Buffer) => {
        const part = data.subarray(0, limit - passed);
        passed += part.length;
        if (passed < limit) {
            to.write(part);
            return;
        }
        to.write(part, cut);
    });
    from.on("end", () => to.end());
}
