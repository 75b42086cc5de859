/** Asking for a replica for a chat completion, and noting how the attempt fares for the decisions that follow. */
import { type ChatCall, type ModelService } from "@rattanquay/schema";
import { type AttemptAccount, type Grant } from "../dispatch";
import { type Reach } from "./callerDoor";
import { type Answer } from "./chatAnswer";
import { type AttemptResult } from "./chatAttempt";
import { type Exchange } from "./exchange";

const defaultMaxTokens = 256;
/** Calls of one tool share their system prompt; its beginning tells tools apart. */
const kindLength = 80;

export function admitChat(
    exchange: Exchange,
    workspace: string,
    call: ChatCall,
    service: ModelService,
    id: string,
    tried: ReadonlySet<string>,
    { dispatch }: Reach,
): Promise<Grant> {
    return dispatch.admit({
        id,
        service: exchange.service,
        workspace,
        workClass: "short",
        priority: service.priority,
        startByMs: exchange.arrivedAtMs + service.target.firstTokenMs,
        avoid: tried,
        estimate: {
            kind: kindOf(call),
            maxTokens: call.max_completion_tokens ?? call.max_tokens ?? defaultMaxTokens,
            longFromTokens: service.longWork.fromTokens,
            longStartByMs: exchange.arrivedAtMs + service.longWork.firstTokenMs,
        },
    });
}

/** What a call shows of its kind: what it declares itself, or else the system prompt that its tool sends. */
function kindOf({ metadata, messages }: ChatCall): string {
    if (typeof metadata === "object" && metadata !== null && "kind" in metadata) {
        return `declared ${String(metadata.kind).slice(0, kindLength)}`;
    }
    const system = messages.find(({ role }) => role === "system" || role === "developer");
    return system === undefined ? "" : system.content.slice(0, kindLength);
}

/** An answer that notes when its tokens come, for the length of one attempt. */
export type Meter = {
    readonly answer: Answer;
    readonly account: (result: AttemptResult) => AttemptAccount;
};

export function meterAnswer(
    answer: Answer,
    service: ModelService,
    id: string,
    { dispatch, surroundings }: Reach,
): Meter {
    const { timer } = surroundings;
    const startedAtMs = timer.nowMs();
    const before = answer.tokens();
    let firstAtMs: number | undefined;
    let lastAtMs = startedAtMs;

    const note = (known: number): void => {
        const tokens = answer.tokens();
        if (tokens > known) {
            lastAtMs = timer.nowMs();
            firstAtMs ??= lastAtMs;
            if (tokens === service.longWork.fromTokens) {
                dispatch.outgrow(id);
            }
        }
    };

    const expect: Answer["expect"] = attemptId => {
        const sink = answer.expect(attemptId);
        return {
            ...sink,
            take: (chunk, data, isFinishing) => {
                const known = answer.tokens();
                const taken = sink.take(chunk, data, isFinishing);
                note(known);
                return taken;
            },
        };
    };

    const account = (result: AttemptResult): AttemptAccount => {
        const tokens = answer.tokens();
        if (firstAtMs === undefined || result.kind !== "whole") {
            return { kind: failedKinds.has(result.kind) ? "failed" : "ended" };
        }
        const taken = tokens - before;
        return {
            kind: "answered",
            tokens,
            firstTokenMs: firstAtMs - startedAtMs,
            ...(taken < 2 ? {} : { betweenTokensMs: (lastAtMs - firstAtMs) / (taken - 1) }),
        };
    };
    return { answer: { ...answer, expect }, account };
}

/** Results that speak against the replica. */
const failedKinds: ReadonlySet<string> = new Set(["unreached", "cut", "timedOut"]);
