/**
 * The gate that requests to cold upstreams pass. Each needs a grant of the holder of the planning lease, is sent at once
 * when it has one, and goes elsewhere when it has none.
 *
 * Without a limit in the settings or in the service's configuration, nothing is asked and nothing is held back.
 */
import {
    answerTimeoutMs,
    type ColdUpstreams,
    type GrantResult,
    hasGrantLapsed,
    type HeldTerm,
    makeColdUpstreams,
    makeGrantQuestions,
    makeHolderView,
    type ReportedHolder,
} from "@rattanquay/core";
import { type GatewayAnswer, type GatewayRequest, type ServingService, type UpstreamRecord } from "@rattanquay/schema";
import { type ClusterState } from "../clusterState";
import { type GatewayContext } from "../gatewayContext";
import { startGrantHolder } from "./grantHolder";
import { withTimeout } from "./withTimeout";

/** Permits one request to one upstream; it lapses soon. */
export type ColdGrant = { readonly askedAtMs: number };

/** What requests need to know of cold upstreams. */
export type ColdGate = {
    /** Tells which upstreams of the service are cold now; undefined if none can be. */
    readonly coldTestOf: (service: ServingService) => ((record: UpstreamRecord) => boolean) | undefined;
    /** Whether a question for a grant could be asked now; if not, cold upstreams can't be used. */
    readonly mayAsk: () => boolean;
    /** Expected round trip of a question. */
    readonly questionMs: () => number;
    /** Resolves to undefined without a grant, after `answerTimeoutMs` at the latest. */
    readonly ask: (upstream: UpstreamRecord, service: ServingService) => Promise<ColdGrant | undefined>;
    /** Whether a request may be sent now. Call it in the last synchronous step before its bytes go out. */
    readonly maySend: (upstream: UpstreamRecord, service: ServingService, grant: ColdGrant | undefined) => boolean;
    /** Records that the upstream reset or refused a connection: it may have restarted, and its new record comes later. */
    readonly noteConnectionLost: (upstream: UpstreamRecord, service: ServingService) => void;
    /** Every upstream of the zone counts as cold from now for its service's time, as records lag. */
    readonly noteEvacuationEnded: (zone: string, nowMs: number) => void;
    readonly stop: () => void;
};

/** What other processes ask and report. */
export type ColdGrants = {
    readonly answer: (ask: Extract<GatewayRequest, { kind: "coldGrant" }>) => GatewayAnswer;
    /** The holder as told to other processes; undefined where no upstream has a limit. */
    readonly knownHolder: () => ReportedHolder | undefined;
    readonly noteHolder: (holder: ReportedHolder | undefined) => void;
};

/** How the gate reaches the lease and the other processes, which start after it. */
export type ColdGateAccess = {
    readonly heldTerm: () => HeldTerm;
    readonly lastReadHolder: () => ReportedHolder | undefined;
    readonly askInstance: (
        instance: string,
        ask: GatewayRequest,
        timeoutMs: number,
    ) => Promise<GatewayAnswer | undefined>;
};

/** A link on which a question stays unanswered for this long is closed, so that a new one is opened. */
const linkTimeoutMs = 1_000;
const gaugeEveryMs = 1_000;

export function startColdGate(
    context: GatewayContext,
    clusterState: ClusterState,
    access: ColdGateAccess,
): ColdGate & ColdGrants {
    const { settings: { instance, bounds: { cold: bound } }, timer, metrics } = context;
    if (bound === undefined) {
        return unlimitedColdGate;
    }
    const upstreams = makeColdUpstreams();
    const questions = makeGrantQuestions();
    const view = makeHolderView();
    const own = startGrantHolder(context, clusterState, bound, access.heldTerm);
    const cancelGauge = keepGauge(context, clusterState, upstreams);
    clusterState.onUpstreams(ids => {
        for (const id of ids) {
            const coldForMs = clusterState.upstreams().get(id)?.coldForMs;
            if (coldForMs !== undefined) {
                upstreams.noteCold(id, coldForMs, timer.nowMs());
            }
        }
    });
    const noteHolder: ColdGrants["noteHolder"] = holder => {
        if (holder !== undefined) {
            view.note(holder, timer.nowMs());
        }
    };
    const knownHolder = (): ReportedHolder | undefined => {
        noteHolder(access.lastReadHolder());
        return view.current(timer.nowMs());
    };
    const coldTestOf: ColdGate["coldTestOf"] = ({ cold }) => {
        const nowMs = timer.nowMs();
        return cold === undefined || !upstreams.mayAnyBeCold(cold, nowMs)
            ? undefined
            : record => upstreams.isCold(record, cold, nowMs);
    };
    const mayAsk = (): boolean => {
        if (access.heldTerm().isHeld) {
            return true;
        }
        const holder = knownHolder();
        return holder !== undefined && holder.instance !== instance
            && questions.mayAsk(holder.instance, timer.nowMs());
    };
    const askHolder = async (upstream: string, service: string): Promise<GrantResult | "unanswered" | "noHolder"> => {
        if (access.heldTerm().isHeld) {
            return own.decide(upstream, service);
        }
        const holder = knownHolder();
        if (holder === undefined || !mayAsk()) {
            return "noHolder";
        }
        const askedAtMs = timer.nowMs();
        const answer = await withTimeout(
            timer,
            answerTimeoutMs,
            access.askInstance(holder.instance, { kind: "coldGrant", upstream, service }, linkTimeoutMs),
        );
        if (answer?.kind !== "coldGrant" || answer.result === "notHolder") {
            questions.noteUnanswered(holder.instance, timer.nowMs());
            noteHolder(answer?.kind === "coldGrant" ? answer.holder : undefined);
            return answer?.kind === "coldGrant" ? answer.result : "unanswered";
        }
        questions.noteAnswered(timer.nowMs() - askedAtMs);
        return answer.result;
    };
    return {
        coldTestOf,
        mayAsk,
        questionMs: () => access.heldTerm().isHeld ? 0 : questions.roundTripMs(),
        ask: async ({ id }, { service }) => {
            const askedAtMs = timer.nowMs();
            const result = await askHolder(id, service);
            metrics.coldGrants.inc({ result });
            return result === "granted" ? { askedAtMs } : undefined;
        },
        maySend: (upstream, service, grant) => {
            const nowMs = timer.nowMs();
            const isCold = service.cold !== undefined && upstreams.isCold(upstream, service.cold, nowMs);
            if (!isCold || (grant !== undefined && !hasGrantLapsed(grant.askedAtMs, nowMs))) {
                return true;
            }
            metrics.coldGrants.inc({ result: grant === undefined ? "notAsked" : "lapsed" });
            return false;
        },
        noteConnectionLost: ({ id }, { cold }) => {
            if (cold !== undefined) {
                upstreams.noteCold(id, cold.durationMs, timer.nowMs());
            }
        },
        noteEvacuationEnded: upstreams.noteEvacuationEnded,
        answer: ({ upstream, service }) => {
            const result = own.decide(upstream, service);
            const holder = result === "notHolder" ? knownHolder() : undefined;
            return { kind: "coldGrant", result, ...holder === undefined ? {} : { holder } };
        },
        knownHolder,
        noteHolder,
        stop: () => {
            own.stop();
            cancelGauge();
        },
    };
}

/** Keeps the gauge of cold upstreams, and forgets those that are warm again. */
function keepGauge(
    { timer, metrics }: GatewayContext,
    clusterState: ClusterState,
    upstreams: ColdUpstreams,
): () => void {
    return timer.every(gaugeEveryMs, () => {
        const nowMs = timer.nowMs();
        upstreams.prune(nowMs);
        const routes = clusterState.routes();
        const cold = [...clusterState.upstreams().values()].filter(record => {
            const rule = routes?.findService(record.service)?.cold;
            return rule !== undefined && upstreams.isCold(record, rule, nowMs);
        });
        metrics.coldUpstreams.set(cold.length);
    });
}

/** The gate where the settings set no limit. */
const unlimitedColdGate: ColdGate & ColdGrants = {
    coldTestOf: () => undefined,
    mayAsk: () => false,
    questionMs: () => 0,
    ask: async () => undefined,
    maySend: () => true,
    noteConnectionLost: () => undefined,
    noteEvacuationEnded: () => undefined,
    answer: () => ({ kind: "coldGrant", result: "unknown" }),
    knownHolder: () => undefined,
    noteHolder: () => undefined,
    stop: () => undefined,
};
