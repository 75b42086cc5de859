/** One round: calls of every kind, some with a key and repeated, while a scenario injects a fault and heals it. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { checkHistory, type Execution, type History, readExecutions, type Violation } from "../history";
import { makeRecorder, type Recorder } from "../load";
import { seededRandom } from "../random";
import { scenarios } from "./scenarios";
import { type Testbed } from "./testbed";

export type RoundResult = {
    readonly violations: readonly Violation[];
    readonly history: History;
};

const bookings = 30;
const replacements = 10;
const chats = 12;
const callsWithinMs = 600;
const tokensPerAnswer = 40;
/** The wait before the history is read, so that calls that were sent late have reached their service. */
const settleMs = 400;
const keyedShare = 0.7;

type Caller = {
    readonly testbed: Testbed;
    readonly recorder: Recorder;
    readonly random: () => number;
    readonly prefix: string;
};

/** Runs one round of the scenario with random draws from `seed`, and checks its history. */
export async function runRound(testbed: Testbed, name: keyof typeof scenarios, seed: number): Promise<RoundResult> {
    const random = seededRandom(seed);
    const recorder = makeRecorder();
    const caller: Caller = { testbed, recorder, random, prefix: `${name}-${seed}` };
    const scenario = scenarios[name];
    const injecting = scenario.injectFault(testbed, random);
    const keyed: string[] = [];
    const running = Array.from({ length: bookings }, (unused, index) => {
        const call = `${caller.prefix}-b${index}`;
        const isKeyed = random() < keyedShare;
        if (isKeyed) {
            keyed.push(call);
        }
        return isKeyed ? bookAndRepeat(caller, call) : bookOnce(caller, call);
    });
    running.push(
        ...Array.from({ length: replacements }, (unused, index) => replace(caller, `${caller.prefix}-r${index}`)),
        ...Array.from(
            { length: chats },
            (unused, index) => chat(caller, `${caller.prefix}-c${index}`, index % 2 === 0),
        ),
    );
    await Promise.all([injecting, ...running]);
    await scenario.heal(testbed);
    await Promise.all(keyed.map(call => book(caller, call, call, "healed")));
    await sleep(systemTimer, settleMs);
    const executions = executionsOf(testbed, caller.prefix);
    const history = { requests: recorder.requests(), answers: recorder.answers(), executions };
    return { violations: checkHistory(history), history };
}

function executionsOf({ cluster }: Testbed, prefix: string): readonly Execution[] {
    return readExecutions(cluster.journals()).filter(execution => execution.call.startsWith(`${prefix}-`));
}

/** Sends a call twice under one key, each time through a random entry instance; the first may still be running. */
async function bookAndRepeat(caller: Caller, call: string): Promise<void> {
    const { random } = caller;
    const [firstMs, gapMs] = [random() * callsWithinMs, random() * callsWithinMs];
    await Promise.all([
        sleep(systemTimer, firstMs).then(() => book(caller, call, call, "first")),
        sleep(systemTimer, firstMs + gapMs).then(() => book(caller, call, call, "second")),
    ]);
}

async function bookOnce(caller: Caller, call: string): Promise<void> {
    await sleep(systemTimer, caller.random() * callsWithinMs);
    await book(caller, call, undefined, "only");
}

function book({ recorder, ...caller }: Caller, call: string, key: string | undefined, turn: string): Promise<void> {
    const port = portOf(caller);
    return recorder.callAtMostOnce({ port, call, requestId: `${call}/${turn}`, ...(key === undefined ? {} : { key }) });
}

async function replace({ recorder, ...caller }: Caller, call: string): Promise<void> {
    await sleep(systemTimer, caller.random() * callsWithinMs);
    await recorder.callRepeatable({ port: portOf(caller), call, requestId: `${call}/only` });
}

async function chat({ recorder, ...caller }: Caller, call: string, isStreamed: boolean): Promise<void> {
    await sleep(systemTimer, caller.random() * callsWithinMs);
    const port = portOf(caller);
    await recorder.chat({ port, call, requestId: `${call}/only`, tokens: tokensPerAnswer, isStreamed });
}

function portOf({ testbed, random }: Pick<Caller, "testbed" | "random">): number {
    const { entries } = testbed.cluster;
    return entries[Math.floor(random() * entries.length)]!.port;
}
