/**
 * DENIED, REFUSED: an unexpected error while a request is sent ends as its caller's fault (400, "not run"), although the
 * request has been handed to a connection and an upstream runs it.
 */
import {
    makeAdmissionHistory,
    makePredictionBiases,
    makeSharedRetryBudget,
    makeWorkspaceShares,
} from "@rattanquay/core";
import { type ServingRoute, type ServingService, type UpstreamRecord } from "@rattanquay/schema";
import { type Log, silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer } from "@rattanquay/timer";
import { EventEmitter } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeClusterState } from "../../clusterState";
import { makeLifetime } from "../../lifetime";
import { makeGatewayMetrics } from "../../metrics";
import { makeUpstreamRegistry } from "../../upstreams";
import { type AdmittedRequest } from "../admittedRequest";
import { type ExchangeOutcome, runExchange } from "../exchange";
import { type ExchangeDependencies } from "../exchangeDependencies";
import { openPlacementGuard } from "../placementGuard";
import { makeUpstreamBytes } from "../upstreamBytes";

/** An engine for which the prompt of the request is long, so that it counts in the upstream's backlog. */
const service: ServingService = {
    service: "models",
    healthPath: "/",
    maxConnections: 10,
    engine: {
        slots: 4,
        memoryTokens: 90_000,
        models: [{ model: "daka", groupSize: 1, share: 1, pace: 1, loadMs: 1, warmupMs: 1 }],
        stepMs: 1,
        perRequestMs: 0,
        perThousandContextMs: 0,
        stepsPerPass: 1,
        promptTokensPerMs: 100,
        perMillionPairsMs: 0,
        usualPromptTokens: 100,
        usualAnswerTokens: 10,
        reportLagMs: 0,
        loadsPerSecond: 1,
        loadsAtOnce: 1,
        formationMs: 0,
    },
};
const longPromptTokens = 1_000;
const route: ServingRoute = {
    name: "order",
    hostname: "calls.example",
    prefix: "/order/",
    kind: "nonIdempotent",
    timeoutMs: 1_000,
    objectiveMs: 400,
    priority: 1,
    targets: [{ service: "models", weight: 1 }],
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
};
const bodyBytes = 2;
/** Longer than a request takes to reach an upstream that listens on loopback. */
const arrivalMs = 60;

type Upstreams = { readonly addresses: readonly string[]; readonly arrivals: string[]; readonly close: () => void };

async function startUpstreams(count: number): Promise<Upstreams> {
    const arrivals: string[] = [];
    const servers: Server[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer((request, response) => {
            arrivals.push(`u${index}`);
            response.writeHead(200, { "content-length": "0" });
            response.end();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        servers.push(server);
    }
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    const close = (): void => {
        servers.forEach(server => server.close());
        servers.forEach(server => server.closeAllConnections());
    };
    return { addresses, arrivals, close };
}

/** What an attempt counts while it runs, by the part that counts it. */
type Counts = Record<"upstreamBytes" | "quarantine" | "stallWatch" | "longPrompts", number>;

/** Parts that fail; each throws until it has failed as often as `times` says. */
const parts = ["headers", "body", "upstreamBytes", "quarantine", "stallWatch", "longPrompts"] as const;
type Part = (typeof parts)[number];

type Play = { readonly failing: Part; readonly times: number; readonly upstreams: Upstreams };

/** Starts a request, and returns what became of it and what its attempts still count. */
function startRequest({ failing, times, upstreams }: Play) {
    const metrics = makeGatewayMetrics();
    const clusterState = makeClusterState(silentLog, metrics);
    const registry = makeUpstreamRegistry(clusterState);
    const records = upstreams.addresses.map((address, index): UpstreamRecord => ({
        id: `u${index}`,
        service: "models",
        address,
        availabilityZone: "zone-a",
        slots: 4,
        isDraining: false,
        bornAtMs: 1,
        loadedModels: [],
        stagedModels: [],
    }));
    clusterState.applyRecords(records.map((value, index) => ({ value, revision: index + 1 })), "store");
    const errors: Readonly<Record<string, unknown>>[] = [];
    const log: Log = {
        ...silentLog,
        error: (event, fields = {}) => void (event === "unexpectedError" && errors.push(fields)),
    };
    const counts: Counts = { upstreamBytes: 0, quarantine: 0, stallWatch: 0, longPrompts: 0 };
    let left = times;
    const failIf = (part: Part): void => {
        if (part === failing && left-- > 0) {
            throw new Error("planted by the test");
        }
    };
    const count = (part: keyof Counts): () => void => {
        failIf(part);
        counts[part]++;
        let isCounted = true;
        return () => {
            counts[part] -= isCounted ? 1 : 0;
            isCounted = false;
        };
    };
    const workspaceShares = makeWorkspaceShares();
    const bytes = makeUpstreamBytes(1_000);
    const statuses: number[] = [];
    const outcomes: ExchangeOutcome[] = [];
    const dependencies = {
        context: {
            timer: systemTimer,
            metrics,
            log,
            settings: { availabilityZone: "zone-a", bounds: {} },
            random: () => 0,
            ports: {
                requestCodec: {
                    readRequest: () => ({}),
                    upstreamHeaders: () => {
                        failIf("headers");
                        return ["host", "calls.example", "content-length", String(bodyBytes)];
                    },
                    gatewayHeaders: () => [],
                    readHead: () => ({
                        kind: "head",
                        head: {
                            status: 200,
                            requestId: "a-1",
                            isSealed: true,
                            isNotRun: false,
                            hasMarkedEnd: true,
                            headers: [],
                        },
                    }),
                },
            },
        },
        registry: {
            ...registry,
            groupHeads: () => registry.plain("models"),
            startPrefill: () => count("longPrompts"),
        },
        coldGate: { coldTestOf: () => undefined },
        guard: openPlacementGuard,
        upstreamBytes: {
            hasRoom: bytes.hasRoom,
            add: (upstream: string, size: number) => {
                const free = count("upstreamBytes");
                const freeBytes = bytes.add(upstream, size);
                return () => {
                    free();
                    freeBytes();
                };
            },
        },
        lifetime: makeLifetime(),
        budget: makeSharedRetryBudget({ ratio: 0.2, extra: 10, windowMs: 10_000 }),
        instances: () => 8,
        stallWatch: { add: () => count("stallWatch") },
        quarantine: {
            check: () => ({ kind: "clear" }),
            watch: () => ({ noteOutput: () => undefined, noteEnd: count("quarantine") }),
        },
        biases: makePredictionBiases(),
        admissions: makeAdmissionHistory(workspaceShares),
        workspaceShares,
    };
    const admitted = {
        request: { headers: {}, method: "POST", url: "/order/1", complete: true },
        response: Object.assign(new EventEmitter(), { writableFinished: false }),
        answer: {
            sendWhole: ({ status }: { status: number }) => statuses.push(status) > 0,
            hasBegun: () => false,
            isOpenToAttempts: () => true,
            lastEventId: () => undefined,
            openWriter: () => ({ sendWhole: ({ status }: { status: number }) => statuses.push(status) > 0 }),
            release: () => undefined,
        },
        caller: { promptSegments: [], requestId: "a-1", model: "daka", promptTokens: longPromptTokens },
        held: { noteBuffered: () => undefined },
        route,
        service,
        body: {
            get parts() {
                failIf("body");
                return [Buffer.from("{}")];
            },
            length: bodyBytes,
        },
        arrivedAtMs: systemTimer.nowMs(),
        endByMs: systemTimer.nowMs() + route.timeoutMs,
        urgencies: [1],
        urgency: 1,
        isRepeatable: false,
    };
    runExchange(
        admitted as unknown as AdmittedRequest,
        dependencies as unknown as ExchangeDependencies,
        outcome => outcomes.push(outcome),
    );
    const loads = (): readonly number[] => records.map(({ id }) => registry.get(id)!.load.own());
    const suspects = (): readonly string[] => registry.doubts(systemTimer.nowMs());
    return { outcomes, statuses, counts, loads, suspects, errors, metrics, stop: () => registry.stop() };
}

type Started = ReturnType<typeof startRequest>;

async function play(options: Omit<Play, "upstreams">, check: (started: Started, arrivals: readonly string[]) => void) {
    const uncaught: string[] = [];
    const noteUncaught = (error: unknown): void => void uncaught.push(String(error));
    process.on("uncaughtException", noteUncaught);
    const upstreams = await startUpstreams(2);
    const started = startRequest({ ...options, upstreams });
    try {
        await sleep(systemTimer, arrivalMs);
        assert.equal(uncaught, []);
        check(started, upstreams.arrivals);
    }
    finally {
        process.off("uncaughtException", noteUncaught);
        started.stop();
        upstreams.close();
    }
}

const nothingCounted: Counts = { upstreamBytes: 0, quarantine: 0, stallWatch: 0, longPrompts: 0 };

for (const failing of parts) {
    test(`an error in ${failing} during each send ends as not run, no upstream gets the request, and all is undone`, () =>
        play({ failing, times: Infinity }, ({ outcomes, statuses, counts, loads, suspects, errors }, arrivals) => {
            assert.equal(arrivals, []);
            assert.equal(statuses, [503]);
            assert.equal(outcomes.map(({ ending, code }) => [ending, code]), [["notRun", "notRun"]]);
            assert.equal(counts, nothingCounted);
            assert.equal(loads(), [0, 0]);
            assert.equal(suspects(), []);
            assert.ok(errors.length >= 1 && errors.every(({ origin }) => origin === "send"));
        }));

    test(`after an error in ${failing} during the first send, another upstream answers, and all is undone`, () =>
        play({ failing, times: 1 }, ({ outcomes, statuses, counts, loads, suspects, errors }, arrivals) => {
            assert.equal(statuses, [200]);
            assert.equal(outcomes.map(({ code, upstreams: tried = [] }) => [code, tried.length]), [["ok", 2]]);
            assert.is(arrivals.length, 1);
            assert.equal(counts, nothingCounted);
            assert.equal(loads(), [0, 0]);
            assert.equal(suspects(), []);
            assert.is(errors.length, 1);
            const { origin, requestId, path, upstream, error } = errors[0]!;
            assert.equal([origin, requestId, path], ["send", "a-1", "/order/1"]);
            assert.ok(["u0", "u1"].includes(String(upstream)) && !arrivals.includes(String(upstream)));
            assert.ok(String(error).includes("planted by the test"));
        }));
}

test.run();
