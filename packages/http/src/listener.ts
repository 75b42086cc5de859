/** Opens HTTP listeners, with TLS when the settings ask for it. */
import { type Listener, type Tls } from "@rattanquay/schema";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { type AddressInfo } from "node:net";

/** Longer than the idle time of usual balancers, so that the balancer and not this process ends an idle connection. */
const keepAliveTimeoutMs = 65_000;
/** How often Node looks for connections whose headers are late. */
const connectionsCheckingInterval = 500;

/** Resolves when the listener is bound; rejects when the address cannot be had or a TLS file cannot be read. */
export async function openListener(listener: Listener, onRequest: RequestListener): Promise<Server> {
    const options = { keepAliveTimeout: keepAliveTimeoutMs, connectionsCheckingInterval };
    const server = listener.tls === undefined
        ? createServer(options, onRequest)
        : createSecureServer({ ...options, ...tlsOptions(listener.tls) }, onRequest);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listener.port, listener.host, () => resolve(server as Server));
    });
}

/** TLS options read from the files that the settings name; they do for either end of a connection. */
export function tlsOptions(tls: Tls) {
    return {
        cert: readFileSync(tls.certificateFile),
        key: readFileSync(tls.keyFile),
        ...(tls.authorityFile === undefined
            ? {}
            : { ca: readFileSync(tls.authorityFile), requestCert: true, rejectUnauthorized: true }),
    };
}

/** The port that a listener was given. */
export function portOf(server: Server): number {
    return (server.address() as AddressInfo).port;
}
