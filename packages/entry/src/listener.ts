/** Opens HTTP listeners, with TLS if the settings enable it. */
import { type Listener, type Tls } from "@rattanquay/schema";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { type AddressInfo } from "node:net";

/** Longer than the idle timeout of common load balancers, so that the balancer closes idle connections first. */
const keepAliveTimeoutMs = 65_000;
/** How often, in milliseconds, Node checks for connections that exceed the header or request timeout. */
const connectionsCheckingInterval = 500;

/** Resolves when the listener is bound; rejects if the address cannot be bound or a TLS file cannot be read. */
export async function openListener(listener: Listener, onRequest: RequestListener): Promise<Server> {
    // The server itself would refuse a request without a host, and no log line would say so.
    const options = { keepAliveTimeout: keepAliveTimeoutMs, connectionsCheckingInterval, requireHostHeader: false };
    const server = listener.tls === undefined
        ? createServer(options, onRequest)
        : createSecureServer({ ...options, ...tlsOptions(listener.tls) }, onRequest);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listener.port, listener.host, () => resolve(server as Server));
    });
}

/** TLS options read from the files named in the settings, usable for servers and clients. */
export function tlsOptions(tls: Tls) {
    return {
        cert: readFileSync(tls.certificateFile),
        key: readFileSync(tls.keyFile),
        ...(tls.authorityFile === undefined
            ? {}
            : { ca: readFileSync(tls.authorityFile), requestCert: true, rejectUnauthorized: true }),
    };
}

/** The port that a listener is bound to. */
export function portOf(server: Server): number {
    return (server.address() as AddressInfo).port;
}
