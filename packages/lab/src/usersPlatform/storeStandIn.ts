/** A stand-in of the users' platform's store: rows with revisions, their changes, conditional writes, and troubles at will. */
import { systemTimer } from "@rattanquay/timer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

type Row = { table: string; part: string; key: string; value: string; schema_version: number; deleted?: boolean };

/** What the store does with calls: serves them, turns them away, says nothing, or does them without an answer. */
export type StoreMood = "serves" | "busy" | "silent" | "losesAnswers";

export type StoreStandIn = {
    readonly address: string;
    readonly put: (table: string, key: string, value: unknown) => void;
    readonly remove: (table: string, key: string) => void;
    readonly rows: (table: string) => readonly { readonly key: string; readonly value: unknown }[];
    readonly setMood: (mood: StoreMood) => void;
    /** Drops the history: whoever follows must read anew. */
    readonly compact: () => void;
    readonly calls: () => number;
    readonly close: () => void;
};

const checkEveryMs = 5;

/** The rows with their revisions; removed ones stay as markers, so that their removal can be followed. */
function makeRows() {
    const rows = new Map<string, Row>();
    let revision = 1;
    let oldest = 0;
    const id = (table: string, key: string): string => `${table}\n${key}`;
    return {
        revision: () => revision,
        oldest: () => oldest,
        /** Begins a transaction. */
        advance: () => {
            revision++;
        },
        put: (table: string, key: string, value: string): void => {
            rows.set(id(table, key), { table, part: "", key, value, schema_version: revision });
        },
        remove: (table: string, key: string): void => {
            rows.set(id(table, key), { table, part: "", key, value: "", schema_version: revision, deleted: true });
        },
        live: (table: string): Row[] => [...rows.values()].filter(row => row.table === table && !row.deleted),
        after: (table: string, from: number): Row[] =>
            [...rows.values()].filter(row => row.table === table && row.schema_version > from),
        revisionOf: (table: string, key: string): number => {
            const row = rows.get(id(table, key));
            return row === undefined || row.deleted ? 0 : row.schema_version;
        },
        forgetHistory: () => {
            oldest = revision;
            revision++;
        },
    };
}

/** Starts the stand-in on a loopback port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const table = makeRows();
    let mood: StoreMood = "serves";
    let calls = 0;
    const began = systemTimer.nowMs();
    const stamp = () => ({
        schema_version: table.revision(),
        now_ms: Math.round(systemTimer.nowMs() - began),
    });
    const answer = (response: ServerResponse, status: number, body: unknown): void => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const follow = (query: URLSearchParams, response: ServerResponse): void => {
        const after = Number(query.get("after"));
        const untilMs = systemTimer.nowMs() + Number(query.get("wait_ms"));
        const look = (): void => {
            if (after < table.oldest()) {
                answer(response, 410, stamp());
                return;
            }
            const changed = table.after(query.get("table") ?? "", after);
            if (changed.length > 0 || systemTimer.nowMs() >= untilMs) {
                answer(response, 200, { ...stamp(), rows: changed, has_more: false });
                return;
            }
            systemTimer.after(checkEveryMs, look);
        };
        look();
    };
    const write = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const body = JSON.parse(Buffer.concat(chunks).toString()) as {
            expected_revision: Row[];
            upserts: Row[];
            remove: Row[];
        };
        if (body.expected_revision.some(row => table.revisionOf(row.table, row.key) !== row.schema_version)) {
            answer(response, 412, { ...stamp(), rows: [] });
            return;
        }
        table.advance();
        body.upserts.forEach(row => table.put(row.table, row.key, row.value));
        body.remove.forEach(row => table.remove(row.table, row.key));
        if (mood === "losesAnswers") {
            response.socket?.destroy();
            return;
        }
        answer(response, 200, stamp());
    };
    const handlers: Readonly<Record<string, (r: IncomingMessage, s: ServerResponse, q: URLSearchParams) => void>> = {
        "/rattanquay/rows-get": (unused, response, query) =>
            answer(response, 200, { ...stamp(), rows: table.live(query.get("table") ?? ""), has_more: false }),
        "/rattanquay/rows-feed": (unused, response, query) => follow(query, response),
        "/rattanquay/rows-tx": (request, response) => void write(request, response),
    };
    const server = createServer((request, response) => {
        calls++;
        const url = new URL(request.url ?? "/", "http://store");
        if (mood === "silent") {
            return;
        }
        if (mood === "busy") {
            answer(response, 503, {});
            return;
        }
        handlers[url.pathname]?.(request, response, url.searchParams);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        put: (name, key, value) => {
            table.advance();
            table.put(name, key, Buffer.from(JSON.stringify(value)).toString("base64"));
        },
        remove: (name, key) => {
            table.advance();
            table.remove(name, key);
        },
        rows: name =>
            table.live(name).map(({ key, value }) => ({
                key,
                value: JSON.parse(Buffer.from(value, "base64").toString()) as unknown,
            })),
        setMood: next => {
            mood = next;
        },
        compact: table.forgetHistory,
        calls: () => calls,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
