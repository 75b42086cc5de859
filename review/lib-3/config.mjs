/** The operator's configuration of a small deployment: a plain service, a model service, and their routes. */
export const tenantKey = "review-key-0000000000";

const route = (name, routeType, service, extra = {}) => ({
    name,
    hostname: "calls.example",
    prefix: `/${name}/`,
    route_type: routeType,
    timeout_ms: 4_000,
    target_latency_ms: 400,
    priority: 1,
    service,
    traffic_split: [],
    max_attempts: 2,
    public: false,
    stream_resume: false,
    session_affinity: false,
    ...extra,
});

export const models = { m0: { size: 2, loadMs: 12_000, warmupMs: 1_100 } };
export const formationMs = 300;

const engine = {
    slots: 12,
    kv_capacity_tokens: 1_312_941,
    stride: 5,
    models: Object.entries(models).map(([name, { size, loadMs, warmupMs }]) => ({
        name,
        size,
        share: 1,
        pace: 1,
        load_time_s: loadMs / 1_000,
        warmup_s: warmupMs / 1_000,
    })),
    step_ms: 7.8,
    per_seq_ms: 0.0947,
    context_per_k: 0.0096,
    read_per_s: 45_900,
    chunk: 2_048,
    pairs_per_m: 0.433,
    report_lag_ms: 200,
    loads_per_s: 5,
    loads_at_once: 7,
    usual: { prompt: 1_000, answer: 150 },
    formation_ms: formationMs,
    far_x: 2.5,
    kept_model_count: 1,
};

export const configuration = (version = 2) => ({
    version,
    routes: [
        route("lookup", "idempotent", "plain"),
        route("booking", "non_idempotent", "plain", { max_attempts: 1 }),
        route("report", "streaming", "models", { target_gap_ms: 300, stream_resume: true, session_affinity: true }),
    ],
    services: [
        { name: "plain", health_path: "/healthz", max_connections: 214 },
        { name: "models", health_path: "/healthz", max_connections: 574, inference_engine: engine },
    ],
    limits: { max_header_bytes: 32_768, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 60_000 },
    tenants: [{ name: "review", api_keys: [tenantKey] }],
});
