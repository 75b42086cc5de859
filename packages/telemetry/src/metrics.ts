/** Metrics of a process, in their own registry. docs/reference/metrics.md describes each one. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const firstTokenBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 0.93, 1.5, 3, 10];
const betweenTokensBuckets = [0.005, 0.01, 0.02, 0.03, 0.052, 0.1, 0.2, 0.5, 2];

/** Creates a registry with all metrics. */
export function makeMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return { registry, ...requestMetrics(registers), ...callerMetrics(registers), ...processMetrics(registers) };
}

export type Metrics = ReturnType<typeof makeMetrics>;

/** Metrics of requests, attempts and replicas. */
function requestMetrics(registers: Registry[]) {
    return {
        requests: new Counter({
            name: "rattanquay_requests_total",
            help: "Requests by service and how they ended.",
            labelNames: ["service", "ending", "code"],
            registers,
        }),
        attempts: new Counter({
            name: "rattanquay_attempts_total",
            help: "Attempts at an upstream by service and result.",
            labelNames: ["service", "result"],
            registers,
        }),
        tokens: new Counter({
            name: "rattanquay_relayed_tokens_total",
            help: "Streamed chunks relayed.",
            labelNames: ["service"],
            registers,
        }),
        firstToken: new Histogram({
            name: "rattanquay_first_token_seconds",
            help: "From the request's arrival to the first token.",
            labelNames: ["service", "workClass"],
            buckets: firstTokenBuckets,
            registers,
        }),
        betweenTokens: new Histogram({
            name: "rattanquay_between_tokens_seconds",
            help: "Mean time between tokens of an answer.",
            labelNames: ["service"],
            buckets: betweenTokensBuckets,
            registers,
        }),
        inFlight: new Gauge({
            name: "rattanquay_in_flight_requests",
            help: "Requests whose answers have not wholly left this process, by listener.",
            labelNames: ["listener"],
            registers,
        }),
        queued: new Gauge({
            name: "rattanquay_queued_requests",
            help: "Requests waiting for a replica.",
            labelNames: ["service"],
            registers,
        }),
        places: new Gauge({
            name: "rattanquay_places",
            help:
                "Requests of a service at once: limit of all processes, places of this one, and its short and long ones.",
            labelNames: ["service", "state"],
            registers,
        }),
        replicas: new Gauge({
            name: "rattanquay_replicas",
            help: "Replicas of this zone by service and state.",
            labelNames: ["service", "state"],
            registers,
        }),
        connectionFaults: new Counter({
            name: "rattanquay_connection_faults_total",
            help: "Connections at fault before or beside a request, by listener and kind.",
            labelNames: ["listener", "kind"],
            registers,
        }),
        unparsedRequests: new Counter({
            name: "rattanquay_unparsed_requests_total",
            help:
                "Requests that the HTTP server could not read, by the code of the fault and the status of the answer.",
            labelNames: ["listener", "fault", "status"],
            registers,
        }),
    };
}

/** What is held for callers, and which limits have ended requests or connections. */
function callerMetrics(registers: Registry[]) {
    return {
        callerBytes: new Gauge({
            name: "rattanquay_caller_bytes",
            help: "Bytes held for callers: bodies, unread answers and an allowance for each connection.",
            registers,
        }),
        callerBytesLimit: new Gauge({
            name: "rattanquay_caller_bytes_limit",
            help: "The budget for bytes held for callers.",
            registers,
        }),
        callerBodies: new Gauge({
            name: "rattanquay_caller_bodies",
            help: "Bodies of callers that are arriving.",
            registers,
        }),
        callerConnections: new Gauge({
            name: "rattanquay_caller_connections",
            help: "Open connections of callers.",
            registers,
        }),
        callersEnded: new Counter({
            name: "rattanquay_callers_ended_total",
            help: "Requests and connections of callers that a limit has ended, by reason.",
            labelNames: ["reason"],
            registers,
        }),
    };
}

/** Metrics of the configuration, the platform, peers, probes and the control lease. */
function processMetrics(registers: Registry[]) {
    return {
        configRevision: new Gauge({
            name: "rattanquay_config_revision",
            help: "The configuration revision in force here.",
            registers,
        }),
        platformErrors: new Counter({
            name: "rattanquay_platform_errors_total",
            help: "Platform calls that failed.",
            labelNames: ["call"],
            registers,
        }),
        peers: new Gauge({ name: "rattanquay_peers", help: "Peers by state.", labelNames: ["state"], registers }),
        peerBytes: new Counter({
            name: "rattanquay_peer_bytes_total",
            help: "Bytes over peer links, both directions, without TCP and IP headers.",
            registers,
        }),
        peerMessages: new Counter({
            name: "rattanquay_peer_messages_total",
            help: "Messages over peer links, both directions.",
            registers,
        }),
        probes: new Counter({
            name: "rattanquay_probes_total",
            help: "Probes of instances, as this process's share or because shared evidence was about to get too old.",
            labelNames: ["cause"],
            registers,
        }),
        leaseHeld: new Gauge({
            name: "rattanquay_lease_held",
            help: "1 while this process holds its zone's control lease.",
            registers,
        }),
    };
}
