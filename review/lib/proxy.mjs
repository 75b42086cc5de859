/** A proxy on loopback whose open connections can be made silent for good, without a reset, while new ones work. */
import { connect, createServer } from "node:net";

const host = "127.0.0.1";

export async function startProxy(target) {
    const colon = target.lastIndexOf(":");
    const port = Number(target.slice(colon + 1));
    const pairs = new Set();
    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ host, port, allowHalfOpen: true });
        const pair = { near, far, isSilent: false };
        pairs.add(pair);
        const join = (from, to) => {
            from.on("data", bytes => pair.isSilent || to.write(bytes));
            from.on("end", () => pair.isSilent || to.end());
            from.on("error", () => undefined);
            from.on("close", () => {
                pairs.delete(pair);
                if (!pair.isSilent) {
                    to.destroy();
                }
            });
        };
        join(near, far);
        join(far, near);
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        /** From now on nothing passes over the connections that are open. */
        silence: () =>
            pairs.forEach(pair => {
                pair.isSilent = true;
            }),
        close: () => {
            server.close();
            pairs.forEach(({ near, far }) => {
                near.destroy();
                far.destroy();
            });
        },
    };
}
