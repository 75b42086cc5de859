// A proxy whose open connections can go silent for good, without a reset, while new ones work.
import { connect, createServer } from "node:net";

export async function startSilentProxy(host, target) {
    const [targetHost, targetPort] = target.split(":");
    const pairs = new Set();
    const server = createServer(near => {
        const far = connect(Number(targetPort), targetHost);
        const pair = { near, far, isSilent: false };
        pairs.add(pair);
        const pass = (from, to) => {
            from.on("data", bytes => pair.isSilent || to.write(bytes));
            from.on("error", () => undefined);
            from.on("close", () => {
                if (!pair.isSilent) {
                    pairs.delete(pair);
                    to.destroy();
                }
            });
        };
        pass(near, far);
        pass(far, near);
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        silence: () => pairs.forEach(pair => pair.isSilent = true),
        close: () => {
            server.close();
            pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
        },
    };
}
