/** Requests a replica for a chat completion, and measures the attempt for later admission and routing decisions. */
import { type ChatCall, type ModelService } from "@rattanquay/schema";
import { type AdmissionDecision, type AttemptReport } from "../dispatch";
import { type HandlerContext } from "./callerListener";
import { type ChatAnswer } from "./chatAnswer";
import { type AttemptResult } from "./chatAttempt";
import { type Exchange } from "./exchange";

const defaultMaxTokens = 256;
/** Calls from one tool share a system prompt, and its first characters are enough to tell tools apart. */
const maxKindLength = 80;

export function admitChat(
    exchange: Exchange,
    workspace: string,
    call: ChatCall,
    service: ModelService,
    id: string,
    triedReplicas: ReadonlySet<string>,
    { dispatch }: HandlerContext,
): Promise<AdmissionDecision> {
    return dispatch.admit({
        id,
        service: exchange.service,
        workspace,
        workClass: "short",
        priority: service.priority,
        startDeadlineMs: exchange.arrivedAtMs + service.target.firstTokenMs,
        excludedReplicas: triedReplicas,
        estimate: {
            kind: callKindOf(call),
            maxTokens: call.max_completion_tokens ?? call.max_tokens ?? defaultMaxTokens,
            longFromTokens: service.longWork.fromTokens,
            longStartByMs: exchange.arrivedAtMs + service.longWork.firstTokenMs,
        },
    });
}

/** The kind of call by which answer lengths are estimated: `metadata.kind`, or else the start of the system prompt. */
function callKindOf({ metadata, messages }: ChatCall): string {
    if (typeof metadata === "object" && metadata !== null && "kind" in metadata) {
        return `declared ${String(metadata.kind).slice(0, maxKindLength)}`;
    }
    const system = messages.find(({ role }) => role === "system" || role === "developer");
    return system === undefined ? "" : system.content.slice(0, maxKindLength);
}

/** Wraps an answer for one attempt and records when its tokens arrive. */
export type AnswerMeter = {
    readonly answer: ChatAnswer;
    readonly report: (result: AttemptResult) => AttemptReport;
};

export function meterAnswer(
    answer: ChatAnswer,
    service: ModelService,
    id: string,
    { dispatch, processContext }: HandlerContext,
): AnswerMeter {
    const { timer } = processContext;
    const startedAtMs = timer.nowMs();
    const tokensBefore = answer.tokens();
    let firstAtMs: number | undefined;
    let lastAtMs = startedAtMs;

    const recordTokens = (previousTokens: number): void => {
        const tokens = answer.tokens();
        if (tokens > previousTokens) {
            lastAtMs = timer.nowMs();
            firstAtMs ??= lastAtMs;
            if (tokens === service.longWork.fromTokens) {
                dispatch.markLong(id);
            }
        }
    };

    const openSink: ChatAnswer["openSink"] = attemptId => {
        const sink = answer.openSink(attemptId);
        return {
            ...sink,
            write: (chunk, data, isFinishing) => {
                const previousTokens = answer.tokens();
                const canContinue = sink.write(chunk, data, isFinishing);
                recordTokens(previousTokens);
                return canContinue;
            },
        };
    };

    const report = (result: AttemptResult): AttemptReport => {
        const tokens = answer.tokens();
        if (firstAtMs === undefined || result.kind !== "whole") {
            return { kind: replicaFailures.has(result.kind) ? "failed" : "ended" };
        }
        const attemptTokens = tokens - tokensBefore;
        return {
            kind: "answered",
            tokens,
            firstTokenMs: firstAtMs - startedAtMs,
            ...(attemptTokens < 2 ? {} : { betweenTokensMs: (lastAtMs - firstAtMs) / (attemptTokens - 1) }),
        };
    };
    return { answer: { ...answer, openSink }, report };
}

/** Results that count as failures of the replica. */
const replicaFailures: ReadonlySet<string> = new Set(["unreached", "cut", "timedOut"]);
