/** The platform's lagging list of live and leaving instances, read over HTTP. */
import { InstanceList } from "@rattanquay/schema";
import { type TableOutcome } from "./table";

export type InstanceSource = {
    readonly list: () => Promise<TableOutcome<InstanceList>>;
};

/** Reads `GET <endpoint>`; an answer that does not match the schema counts as none. */
export function makeInstanceSource(options: { readonly endpoint: string; readonly timeoutMs: number }): InstanceSource {
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
