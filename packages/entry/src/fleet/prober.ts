/** Probes instances by an HTTP request to their `/server_info`. */
import { ServerInfo } from "@rattanquay/schema";
import { Agent, get } from "node:http";

const maxAnswerBytes = 65_536;

export type Prober = {
    /** The instance's answer, or `undefined` if none arrived in time or it does not match the schema. */
    readonly probe: (address: string) => Promise<ServerInfo | undefined>;
    readonly stop: () => void;
};

export function makeProber(options: { readonly timeoutMs: number }): Prober {
    const agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: options.timeoutMs });
    const probe = (address: string): Promise<ServerInfo | undefined> =>
        new Promise(resolve => {
            const request = get(`http://${address}/server_info`, {
                agent,
                signal: AbortSignal.timeout(options.timeoutMs),
            }, response => {
                let text = "";
                response.setEncoding("utf8");
                response.on("data", (data: string) => {
                    text += data;
                    if (text.length > maxAnswerBytes) {
                        request.destroy();
                    }
                });
                response.on("end", () => resolve(parse(text)));
                response.on("error", () => resolve(undefined));
            });
            request.on("error", () => resolve(undefined));
            request.on("close", () => resolve(undefined));
        });
    return { probe, stop: () => agent.destroy() };
}

function parse(text: string): ServerInfo | undefined {
    try {
        const parsed = ServerInfo.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
