/** The metrics of a gateway process. Names and meanings: docs/reference/metrics.md. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const secondsBuckets = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];

export type GatewayMetrics = ReturnType<typeof makeGatewayMetrics>;

export function makeGatewayMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requests: new Counter({
            name: "rattanquay_gateway_requests_total",
            help: "Requests by kind and how they ended.",
            labelNames: ["kind", "ending", "status"],
            registers,
        }),
        attempts: new Counter({
            name: "rattanquay_gateway_attempts_total",
            help: "Sends to upstreams by kind and result.",
            labelNames: ["kind", "result"],
            registers,
        }),
        firstByte: new Histogram({
            name: "rattanquay_gateway_first_byte_seconds",
            help: "From a request's arrival to the first byte of its answer, by kind.",
            labelNames: ["kind"],
            buckets: secondsBuckets,
            registers,
        }),
        storeCalls: new Counter({
            name: "rattanquay_gateway_store_calls_total",
            help: "Calls to the platform's store by call and outcome.",
            labelNames: ["call", "outcome"],
            registers,
        }),
        orders: new Counter({
            name: "rattanquay_gateway_orders_total",
            help: "Orders to engine instances by kind and result.",
            labelNames: ["order", "result"],
            registers,
        }),
        upstreams: new Gauge({
            name: "rattanquay_gateway_upstreams",
            help: "Upstreams known here.",
            registers,
        }),
        evacuatedZones: new Gauge({
            name: "rattanquay_gateway_evacuated_zones",
            help: "Availability zones that are evacuated as far as known here.",
            registers,
        }),
        storeEras: new Counter({
            name: "rattanquay_gateway_store_eras_total",
            help: "Times that a newer era of the store replaced an earlier one here, by the part of the state.",
            labelNames: ["part"],
            registers,
        }),
        leaseHeld: new Gauge({
            name: "rattanquay_gateway_planning_lease_held",
            help: "1 while this process holds the planning lease.",
            registers,
        }),
        inFlight: new Gauge({
            name: "rattanquay_gateway_in_flight_requests",
            help: "Requests whose answers have not wholly left this process.",
            registers,
        }),
        suspectedCrashes: new Counter({
            name: "rattanquay_gateway_suspected_crashes_total",
            help: "Requests with a prompt that an upstream broke off before it had begun to answer them.",
            registers,
        }),
        quarantines: new Gauge({
            name: "rattanquay_gateway_quarantines",
            help: "Quarantines of prompt segments in force here.",
            registers,
        }),
        quarantineChanges: new Counter({
            name: "rattanquay_gateway_quarantine_changes_total",
            help: "Quarantines that were imposed or lifted here.",
            labelNames: ["change"],
            registers,
        }),
        quarantinedRequests: new Counter({
            name: "rattanquay_gateway_quarantined_requests_total",
            help: "Requests with a quarantined segment that were refused, or let through as a trial.",
            labelNames: ["decision"],
            registers,
        }),
        coldGrants: new Counter({
            name: "rattanquay_gateway_cold_grants_total",
            help: "Requests that needed a grant for a cold upstream, by result.",
            labelNames: ["result"],
            registers,
        }),
        coldUpstreams: new Gauge({
            name: "rattanquay_gateway_cold_upstreams",
            help: "Upstreams that this process treats as cold.",
            registers,
        }),
        ...configurationMetrics(registers),
        ...callerMetrics(registers),
        ...faultMetrics(registers),
    };
}

/** The configuration in force, and the final refusals that rest on it. */
function configurationMetrics(registers: Registry[]) {
    return {
        finalRefusals: new Counter({
            name: "rattanquay_gateway_final_refusals_total",
            help: "Answers that tell the caller that it is wrong, by code and whether the configuration was confirmed.",
            labelNames: ["code", "isConfirmed"],
            registers,
        }),
        configConfirmedAge: new Gauge({
            name: "rattanquay_gateway_config_confirmed_age_seconds",
            help: "Time since the configuration in force was last confirmed to be the newest; +Inf before that.",
            registers,
        }),
        configVersion: new Gauge({
            name: "rattanquay_gateway_config_version",
            help: "The configuration version in force here.",
            registers,
        }),
    };
}

/** What is held for callers, and which limits have ended requests or connections. */
function callerMetrics(registers: Registry[]) {
    return {
        callerBytes: new Gauge({
            name: "rattanquay_gateway_caller_bytes",
            help: "Bytes held for callers: bodies, unread answers and an allowance for each connection.",
            registers,
        }),
        callerBytesLimit: new Gauge({
            name: "rattanquay_gateway_caller_bytes_limit",
            help: "The budget for bytes held for callers.",
            registers,
        }),
        callerBodies: new Gauge({
            name: "rattanquay_gateway_caller_bodies",
            help: "Bodies of callers that are arriving.",
            registers,
        }),
        callerConnections: new Gauge({
            name: "rattanquay_gateway_caller_connections",
            help: "Open connections of callers.",
            registers,
        }),
        callersEnded: new Counter({
            name: "rattanquay_gateway_callers_ended_total",
            help: "Requests and connections of callers that a limit has ended, by reason.",
            labelNames: ["reason"],
            registers,
        }),
    };
}

/** Unusable input from other parties, and internal errors. */
function faultMetrics(registers: Registry[]) {
    return {
        unparsedRequests: new Counter({
            name: "rattanquay_gateway_unparsed_requests_total",
            help:
                "Requests that the HTTP server could not read, by the code of the fault and the status of the answer.",
            labelNames: ["fault", "status"],
            registers,
        }),
        unreadableAnswers: new Counter({
            name: "rattanquay_gateway_unreadable_answers_total",
            help: "Answers of upstreams whose head or framing could not be read; each ended its attempt.",
            registers,
        }),
        strayAnswers: new Counter({
            name: "rattanquay_gateway_stray_answers_total",
            help: "Answers of upstreams that do not prove which request they belong to.",
            labelNames: ["hasId", "isNotRun"],
            registers,
        }),
        unmarkedEnds: new Counter({
            name: "rattanquay_gateway_unmarked_ends_total",
            help: "Answers of upstreams without a length or chunks, by how their connection ended.",
            labelNames: ["connection"],
            registers,
        }),
        unusableRows: new Counter({
            name: "rattanquay_gateway_unusable_rows_total",
            help: "Rows of the store, and records from peers, that could not be used, each time one was read.",
            labelNames: ["table"],
            registers,
        }),
        unexpectedErrors: new Counter({
            name: "rattanquay_gateway_unexpected_errors_total",
            help: "Errors that nothing caught or expected; the process goes on.",
            labelNames: ["origin"],
            registers,
        }),
        logLinesDropped: new Counter({
            name: "rattanquay_gateway_log_lines_dropped_total",
            help: "Log lines left out because of the bound on their rate or a reader that does not keep up.",
            registers,
        }),
    };
}
