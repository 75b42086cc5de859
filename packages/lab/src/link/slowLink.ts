/** A TCP proxy on loopback whose connections share one bandwidth from the target on, as those of a machine share its link. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type SlowLink = {
    readonly address: string;
    readonly close: () => void;
};

const host = "127.0.0.1";
/** How often a part of the waiting bytes passes. */
const stepMs = 10;
const msPerSecond = 1_000;

/** Bytes of the target wait in their order, over all connections. */
export async function startSlowLink(target: string, bytesPerSecond: number): Promise<SlowLink> {
    const port = Number(target.slice(target.lastIndexOf(":") + 1));
    const waiting: { readonly to: Socket; bytes: Buffer }[] = [];
    const sockets = new Set<Socket>();
    let isOpen = true;
    const passPart = (): void => {
        let left = Math.floor(bytesPerSecond * stepMs / msPerSecond);
        while (left > 0 && waiting.length > 0) {
            const [first] = waiting;
            first!.to.write(first!.bytes.subarray(0, left));
            const passed = Math.min(left, first!.bytes.length);
            left -= passed;
            first!.bytes = first!.bytes.subarray(passed);
            if (first!.bytes.length === 0) {
                waiting.shift();
            }
        }
    };
    const run = async (): Promise<void> => {
        while (isOpen) {
            passPart();
            await sleep(systemTimer, stepMs);
        }
    };
    const server = createServer(near => {
        const far = connect({ host, port });
        for (const [socket, other] of [[near, far], [far, near]] as const) {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                sockets.delete(socket);
                other.destroy();
            });
        }
        near.on("data", (bytes: Buffer) => far.write(bytes));
        far.on("data", (bytes: Buffer) => waiting.push({ to: near, bytes }));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    void run();
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        close: () => {
            isOpen = false;
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
