import { listen, readText, sendJson, type StandIn } from "../httpServer";

/** A span as received. */
export type ReceivedSpan = {
    readonly traceId: string;
    readonly spanId: string;
    readonly parentSpanId?: string;
    readonly name: string;
    readonly kind: number;
};

export type TraceCollector = StandIn & { readonly spans: () => readonly ReceivedSpan[] };

type TraceExport = {
    readonly resourceSpans?: readonly {
        readonly scopeSpans?: readonly { readonly spans?: readonly ReceivedSpan[] }[];
    }[];
};

/** Receives OTLP/HTTP trace exports in JSON and records their spans. */
export async function startTraceCollector(): Promise<TraceCollector> {
    const spans: ReceivedSpan[] = [];
    const { server, port } = await listen(0, async (request, response) => {
        const { resourceSpans = [] } = JSON.parse(await readText(request)) as TraceExport;
        const scopes = resourceSpans.flatMap(({ scopeSpans = [] }) => scopeSpans);
        spans.push(...scopes.flatMap(scope => scope.spans ?? []));
        sendJson(response, 200, {});
    });
    return {
        port,
        spans: () => spans,
        kill: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
