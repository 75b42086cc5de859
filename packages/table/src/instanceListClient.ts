/** Reads the platform's list of live and leaving instances over HTTP. The list lags behind the actual state. */
import { InstanceList } from "@rattanquay/schema";
import { type TableOutcome } from "./table";

export type InstanceListClient = {
    readonly list: () => Promise<TableOutcome<InstanceList>>;
};

/** Requests `GET <endpoint>`. A response that does not match the schema counts as unavailable. */
export function makeInstanceListClient(
    options: { readonly endpoint: string; readonly timeoutMs: number },
): InstanceListClient {
    return {
        list: async () => {
            try {
                const response = await fetch(options.endpoint, { signal: AbortSignal.timeout(options.timeoutMs) });
                if (!response.ok) {
                    return { kind: "unavailable", reason: `status ${response.status}` };
                }
                return { kind: "done", value: InstanceList.parse(await response.json()) };
            }
            catch (error) {
                return { kind: "unavailable", reason: (error as Error).message };
            }
        },
    };
}
