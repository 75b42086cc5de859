/** Opens HTTP listeners, with TLS when the settings ask for it. */
import { type Listener, type Tls } from "@rattanquay/schema";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { type AddressInfo } from "node:net";

const keepAliveTimeoutMs = 65_000;

/** Resolves when the listener is bound; rejects when the address cannot be had. */
export function openListener(listener: Listener, onRequest: RequestListener): Promise<Server> {
    const server = listener.tls === undefined
        ? createServer({ keepAliveTimeout: keepAliveTimeoutMs }, onRequest)
        : createSecureServer({ keepAliveTimeout: keepAliveTimeoutMs, ...tlsOptions(listener.tls) }, onRequest);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listener.port, listener.host, () => resolve(server as Server));
    });
}

/** TLS options read from the files that the settings name. */
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
