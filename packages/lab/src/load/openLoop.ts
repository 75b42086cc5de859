/** Open-loop load: each call is sent at its scheduled time, whether or not earlier calls have ended. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { type ScheduledCall } from "../workload";
import { callChat, type CallResult } from "./caller";

/** `lateMs` is how long after its scheduled time the call was sent. */
export type CallRecord = { readonly call: ScheduledCall; readonly result: CallResult; readonly lateMs: number };

type Options = {
    /** Caller ports of the entry instances. */
    readonly ports: readonly number[];
    readonly keyOf: (workspace: string) => string;
    /** Numbers in [0, 1) that choose the entry instance of each call, as a load balancer does. */
    readonly random: () => number;
    /** Prefix of the request ids, which makes them unique between runs. */
    readonly run: string;
    /** The service to call; `assistant` by default. */
    readonly model?: string;
};

const charactersPerToken = 4;

/** Makes all calls of a schedule and resolves when all have ended. */
export async function runOpenLoop(
    schedule: readonly ScheduledCall[],
    options: Options,
): Promise<readonly CallRecord[]> {
    const startMs = systemTimer.nowMs();
    const pending: Promise<CallRecord>[] = [];
    for (const [index, call] of schedule.entries()) {
        const aheadMs = startMs + call.atMs - systemTimer.nowMs();
        if (aheadMs > 0) {
            await sleep(systemTimer, aheadMs);
        }
        const lateMs = systemTimer.nowMs() - startMs - call.atMs;
        pending.push(makeCall(call, index, options).then(result => ({ call, result, lateMs })));
    }
    return Promise.all(pending);
}

function makeCall(
    call: ScheduledCall,
    index: number,
    { ports, keyOf, random, run, model }: Options,
): Promise<CallResult> {
    const prompt = `${run} ${index} `;
    const padding = Math.max(0, call.promptTokens * charactersPerToken - prompt.length - call.systemPrompt.length);
    return callChat({
        port: ports[Math.floor(random() * ports.length)]!,
        key: keyOf(call.workspace),
        requestId: `${run}-${index}`,
        ...(model === undefined ? {} : { model }),
        messages: [
            { role: "system", content: call.systemPrompt },
            { role: "user", content: prompt + "x".repeat(padding) },
        ],
        maxTokens: call.maxTokens,
        length: call.answerTokens,
    });
}
