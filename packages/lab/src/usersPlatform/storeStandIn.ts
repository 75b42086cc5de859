/** A stand-in for the store of the users' platform: versioned rows, change feed, conditional writes, faults. */
import { systemTimer } from "@rattanquay/timer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

type Row = { table: string; part: string; key: string; value: string; schema_version: number; deleted?: boolean };

/** How the store treats calls: serves them, answers 503, never answers, or applies writes without an answer. */
export type StoreBehavior = "serves" | "busy" | "silent" | "losesAnswers";

export type StoreStandIn = {
    readonly address: string;
    readonly put: (table: string, key: string, value: unknown) => void;
    readonly remove: (table: string, key: string) => void;
    readonly rows: (table: string) => readonly { readonly key: string; readonly value: unknown }[];
    readonly setBehavior: (behavior: StoreBehavior) => void;
    /** Drops the change history: feeds from an earlier revision get 410, and their readers must read all rows again. */
    readonly compact: () => void;
    /** Copies the rows and the revision, as a store does from time to time. */
    readonly takeCopy: () => StoreCopy;
    /**
     * Comes back from a copy: what was written since is gone, revisions are assigned anew from the copy's on, and
     * `Store-Era` rises by one. Calls that are under way end without an answer.
     */
    readonly restore: (copy: StoreCopy) => void;
    /** Sets the value of `Store-Era` in all answers; undefined leaves the header out. It is "1" at the start. */
    readonly setEra: (era: string | undefined) => void;
    /** Full reads of a table. */
    readonly readsOf: (table: string) => number;
    readonly calls: () => number;
    readonly close: () => void;
};

export type StoreCopy = { readonly rows: ReadonlyMap<string, Row>; readonly revision: number };

const feedPollMs = 5;

/** Rows with their revisions. Removed rows stay as tombstones, so that the change feed can report the removal. */
function makeRows() {
    const rows = new Map<string, Row>();
    let revision = 1;
    let compactedRevision = 0;
    const id = (table: string, key: string): string => `${table}\n${key}`;
    return {
        revision: () => revision,
        compactedRevision: () => compactedRevision,
        /** Starts a new revision; the writes that follow belong to it. */
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
        compact: () => {
            compactedRevision = revision;
            revision++;
        },
        takeCopy: (): StoreCopy => ({ rows: new Map(rows), revision }),
        restore: (copy: StoreCopy): void => {
            rows.clear();
            copy.rows.forEach((row, key) => rows.set(key, row));
            revision = copy.revision;
        },
    };
}

/** Starts the stand-in on a free loopback port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const table = makeRows();
    let behavior: StoreBehavior = "serves";
    let era: string | undefined = "1";
    let calls = 0;
    const readsByTable = new Map<string, number>();
    const startedAtMs = systemTimer.nowMs();
    const answer: Answer = (response, status, body) => {
        if (response.destroyed) {
            return;
        }
        response.writeHead(status, {
            "content-type": "application/json",
            ...era === undefined ? {} : { "store-era": era },
        });
        const nowMs = Math.round(systemTimer.nowMs() - startedAtMs);
        response.end(JSON.stringify({ schema_version: table.revision(), now_ms: nowMs, ...body }));
    };
    const handlers = makeHandlers({ table, answer, behavior: () => behavior });
    const server = createServer((request, response) => {
        calls++;
        const url = new URL(request.url ?? "/", "http://store");
        if (url.pathname === "/rattanquay/rows-get") {
            const name = url.searchParams.get("table") ?? "";
            readsByTable.set(name, (readsByTable.get(name) ?? 0) + 1);
        }
        if (behavior === "silent") {
            return;
        }
        if (behavior === "busy") {
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
        setBehavior: next => {
            behavior = next;
        },
        compact: table.compact,
        takeCopy: table.takeCopy,
        restore: copy => {
            server.closeAllConnections();
            table.restore(copy);
            era = String(Number(era ?? 0) + 1);
        },
        setEra: next => {
            era = next;
        },
        readsOf: name => readsByTable.get(name) ?? 0,
        calls: () => calls,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

type Answer = (response: ServerResponse, status: number, body: Readonly<Record<string, unknown>>) => void;

type HandlerOptions = {
    readonly table: ReturnType<typeof makeRows>;
    readonly answer: Answer;
    readonly behavior: () => StoreBehavior;
};

type Handlers = Readonly<
    Record<string, (request: IncomingMessage, response: ServerResponse, query: URLSearchParams) => void>
>;

/** Returns the handlers of calls by their path. */
function makeHandlers({ table, answer, behavior }: HandlerOptions): Handlers {
    const serveFeed = (query: URLSearchParams, response: ServerResponse): void => {
        const after = Number(query.get("after"));
        const untilMs = systemTimer.nowMs() + Number(query.get("wait_ms"));
        const poll = (): void => {
            if (response.destroyed) {
                return;
            }
            if (after < table.compactedRevision() || after > table.revision()) {
                answer(response, 410, {});
                return;
            }
            const changed = table.after(query.get("table") ?? "", after);
            if (changed.length > 0 || systemTimer.nowMs() >= untilMs) {
                answer(response, 200, { rows: changed, has_more: false });
                return;
            }
            systemTimer.after(feedPollMs, poll);
        };
        poll();
    };
    const serveTransaction = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
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
            answer(response, 412, { rows: [] });
            return;
        }
        table.advance();
        body.upserts.forEach(row => table.put(row.table, row.key, row.value));
        body.remove.forEach(row => table.remove(row.table, row.key));
        if (behavior() === "losesAnswers") {
            response.socket?.destroy();
            return;
        }
        answer(response, 200, {});
    };
    return {
        "/rattanquay/rows-get": (unused, response, query) =>
            answer(response, 200, { rows: table.live(query.get("table") ?? ""), has_more: false }),
        "/rattanquay/rows-feed": (unused, response, query) => serveFeed(query, response),
        "/rattanquay/rows-tx": (request, response) => void serveTransaction(request, response),
    };
}
