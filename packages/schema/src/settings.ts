/** An entry instance's settings file. Every key has a default, except those that only the operator can know. */
import { z } from "zod";

const Port = z.number().int().min(0).max(65_535);
const DurationMs = z.number().int().positive();

const Tls = z.strictObject({
    /** Paths of PEM files. */
    certificateFile: z.string(),
    keyFile: z.string(),
    /** When given, peers must present a certificate signed by it. */
    authorityFile: z.string().optional(),
});
export type Tls = z.infer<typeof Tls>;

const Listener = z.strictObject({
    host: z.string().default("127.0.0.1"),
    port: Port,
    /** The port at which others reach this listener, if ports are mapped. */
    advertisedPort: Port.optional(),
    tls: Tls.optional(),
});
export type Listener = z.infer<typeof Listener>;

const Limits = z.strictObject({
    maxBodyBytes: z.number().int().positive().default(1_048_576),
    /** What the process may use before it is ended; bounds what it holds for callers. */
    memoryBytes: z.number().int().positive().default(268_435_456),
    /** File descriptors that the process may open; bounds the connections of callers. */
    descriptors: z.number().int().positive().default(1_024),
    /** A caller that has not sent its whole request within this time gets status 408. */
    requestReadTimeoutMs: DurationMs.default(10_000),
    /** A caller that reads nothing of its pending answer for this long is disconnected. */
    callerStallTimeoutMs: DurationMs.default(30_000),
    /** An exchange with an upstream that has sent nothing for this long is abandoned. */
    upstreamIdleTimeoutMs: DurationMs.default(10_000),
    connectTimeoutMs: DurationMs.default(1_000),
    /** On SIGTERM, how long running requests may take to finish before they are aborted. */
    shutdownGraceMs: DurationMs.default(600_000),
    /** How long the platform's load balancer needs to notice that this process is shutting down. */
    shutdownNoticeMs: z.number().int().min(0).default(2_000),
    /** Retries as a share of first attempts. */
    retryShare: z.number().min(0).max(1).default(0.1),
});
export type Limits = z.infer<typeof Limits>;

const Intervals = z.strictObject({
    configPollMs: DurationMs.default(500),
    instanceListPollMs: DurationMs.default(1_000),
    groupPollMs: DurationMs.default(250),
    /** Interval at which each prober of an instance probes it. */
    probeMs: DurationMs.default(250),
    heartbeatMs: DurationMs.default(250),
    /** Interval at which the zone's groups are evaluated. */
    judgeMs: DurationMs.default(50),
    /** Evidence older than this counts as missing. */
    evidenceMaxAgeMs: DurationMs.default(1_000),
    leaseMs: DurationMs.default(3_000),
    controlMs: DurationMs.default(250),
});
export type Intervals = z.infer<typeof Intervals>;

const Operator = z.strictObject({
    name: z.string().min(1),
    /** SHA-256 of the operator's key, in hexadecimal. */
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hexadecimal digits (rattanquay key hash)"),
});

/** The whole settings file. */
export const Settings = z.strictObject({
    process: z.strictObject({
        id: z.string().min(1),
        region: z.string().min(1),
        availabilityZone: z.string().min(1),
        /** The IP address at which peers reach this process. */
        address: z.string().min(1).default("127.0.0.1"),
    }),
    listeners: z.strictObject({
        callers: Listener,
        operators: Listener,
        peers: Listener,
    }),
    platform: z.strictObject({
        tableEndpoint: z.url(),
        tableName: z.string().default("rattanquay"),
        tableRegion: z.string().default("local"),
        instancesEndpoint: z.url(),
        timeoutMs: DurationMs.default(1_000),
    }),
    peers: z.strictObject({
        /** Shared secret with which peers authenticate each other. */
        secret: z.string().min(16),
        /** `host:port` of peers to contact before any other peer is known. */
        seeds: z.array(z.string()).default([]),
        /** The local IP address from which links are opened, on machines that have several. */
        dialFrom: z.string().optional(),
        /** How many entry instances of a zone probe each of its instances. */
        probeOverlap: z.number().int().positive().default(2),
        /** Links that this process keeps to each other zone. */
        linksPerOtherZone: z.number().int().positive().default(1),
        maxFrameBytes: z.number().int().positive().default(4_194_304),
    }),
    operators: z.array(Operator).default([]),
    policy: z.strictObject({
        routing: z.enum(["twoChoices", "random", "roundRobin", "leastReported"]).default("twoChoices"),
        admission: z.enum(["reserved", "firstCome"]).default("reserved"),
        repair: z.enum(["mostLacking", "firstDeclared"]).default("mostLacking"),
        spares: z.enum(["bestFit", "firstFit"]).default("bestFit"),
        weakGroups: z.enum(["whenUseful", "never"]).default("whenUseful"),
        rollout: z.enum(["surgeFirst", "toFloor"]).default("surgeFirst"),
        loading: z.enum(["cachedThenMostLacking", "firstFormed"]).default("cachedThenMostLacking"),
    }).prefault({}),
    limits: Limits.prefault({}),
    intervals: Intervals.prefault({}),
    log: z.strictObject({
        level: z.enum(["error", "warn", "info", "debug"]).default("info"),
    }).prefault({}),
    traces: z.strictObject({
        /** OTLP over HTTP; without it spans are created and propagated, but not exported. */
        endpoint: z.url().optional(),
    }).prefault({}),
});
export type Settings = z.infer<typeof Settings>;
