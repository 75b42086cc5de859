/** An entry instance's settings file. Every key has a default, but for those that only the operator can know. */
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
    /** The port by which others reach this listener, where ports are mapped. */
    advertisedPort: Port.optional(),
    tls: Tls.optional(),
});
export type Listener = z.infer<typeof Listener>;

const Limits = z.strictObject({
    maxBodyBytes: z.number().int().positive().default(1_048_576),
    /** A caller that has not sent its whole request by then is answered 408. */
    requestReadTimeoutMs: DurationMs.default(10_000),
    /** A caller that takes nothing of its waiting answer for this long is cut off. */
    callerStallTimeoutMs: DurationMs.default(30_000),
    /** An upstream that has sent nothing for this long is left. */
    upstreamIdleTimeoutMs: DurationMs.default(10_000),
    connectTimeoutMs: DurationMs.default(1_000),
    /** On SIGTERM, how long running requests may take to finish before they are cut. */
    shutdownGraceMs: DurationMs.default(600_000),
    /** How long the platform's balancer needs to see that this process is leaving. */
    shutdownNoticeMs: z.number().int().min(0).default(2_000),
    /** Repeats as a share of first attempts. */
    retryShare: z.number().min(0).max(1).default(0.1),
});
export type Limits = z.infer<typeof Limits>;

const Intervals = z.strictObject({
    configPollMs: DurationMs.default(500),
    instanceListPollMs: DurationMs.default(1_000),
    groupPollMs: DurationMs.default(250),
    /** How often each instance is probed by each of its probers. */
    probeMs: DurationMs.default(250),
    heartbeatMs: DurationMs.default(250),
    /** How often the zone's groups are judged anew. */
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
        /** The IP number by which peers reach this process. */
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
        /** Shared secret by which peers prove themselves to each other. */
        secret: z.string().min(16),
        /** `host:port` of peers to try before any is remembered. */
        seeds: z.array(z.string()).default([]),
        /** The local IP number that links are dialed from, on machines that have several. */
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
        /** OTLP over HTTP; without it spans are made and carried on, but not sent. */
        endpoint: z.url().optional(),
    }).prefault({}),
});
export type Settings = z.infer<typeof Settings>;
