/** Tracing with a span for each hop, propagated in the W3C `traceparent` header. */
import { type Context, context, type Span, SpanKind, trace } from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BasicTracerProvider, BatchSpanProcessor } from "@opentelemetry/sdk-trace-base";

export type { Span };

type Carrier = Record<string, string | string[] | undefined>;

/** Starts spans and propagates their context in headers. */
export type Tracing = {
    /** Starts the span of an incoming request, as a child of the span in its `traceparent` header if there is one. */
    readonly startServerSpan: (name: string, headers: Carrier) => Span;
    /** Starts the span of an outgoing request, as a child of `parent`. */
    readonly startClientSpan: (name: string, parent: Span) => Span;
    /** Headers that propagate the trace to the next hop. */
    readonly propagationHeaders: (span: Span) => Record<string, string>;
    readonly stop: () => Promise<void>;
};

type Options = { readonly endpoint: string | undefined; readonly process: string; readonly availabilityZone: string };

/** Sets up tracing for a process. Without an endpoint, spans have ids and are propagated, but not exported. */
export function makeTracing(options: Options): Tracing {
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({
            "service.name": "rattanquay",
            "service.instance.id": options.process,
            "cloud.availability_zone": options.availabilityZone,
        }),
        spanProcessors: options.endpoint === undefined
            ? []
            : [new BatchSpanProcessor(new OTLPTraceExporter({ url: options.endpoint }))],
    });
    const tracer = provider.getTracer("rattanquay");
    const propagator = new W3CTraceContextPropagator();
    const contextWithSpan = (span: Span): Context => trace.setSpan(context.active(), span);
    return {
        startServerSpan: (name, headers) =>
            tracer.startSpan(
                name,
                { kind: SpanKind.SERVER },
                propagator.extract(context.active(), headers, carrierGetter),
            ),
        startClientSpan: (name, parent) => tracer.startSpan(name, { kind: SpanKind.CLIENT }, contextWithSpan(parent)),
        propagationHeaders: span => {
            const headers: Record<string, string> = {};
            propagator.inject(contextWithSpan(span), headers, carrierSetter);
            return headers;
        },
        stop: () => provider.shutdown(),
    };
}

const carrierGetter = {
    get: (carrier: Carrier, key: string) => carrier[key],
    keys: (carrier: Carrier) => Object.keys(carrier),
};

const carrierSetter = {
    set: (carrier: Record<string, string>, key: string, value: string) => {
        carrier[key] = value;
    },
};
