/** One round: calls of every sort from callers that repeat themselves, while a scenario's fault is set in and made good. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { checkHistory, type Execution, type History, readExecutions, type Violation } from "../history";
import { makeRecorder, type Recorder } from "../load";
import { seededRandom } from "../random";
import { scenarios } from "./scenarios";
import { type World } from "./world";

export type Round = {
    readonly violations: readonly Violation[];
    readonly history: History;
};

const bookings = 30;
const replacements = 10;
const chats = 12;
const callsWithinMs = 600;
const tokensPerAnswer = 40;
/** What was sent late must have arrived before the history is read. */
const settleMs = 400;
const keyedShare = 0.7;

type Caller = {
    readonly world: World;
    readonly recorder: Recorder;
    readonly random: () => number;
    readonly prefix: string;
};

export async function runRound(world: World, name: keyof typeof scenarios, seed: number): Promise<Round> {
    const random = seededRandom(seed);
    const recorder = makeRecorder();
    const caller: Caller = { world, recorder, random, prefix: `${name}-${seed}` };
    const scenario = scenarios[name];
    const hampering = scenario.hamper(world, random);
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
    await Promise.all([hampering, ...running]);
    await scenario.heal(world);
    await Promise.all(keyed.map(call => book(caller, call, call, "healed")));
    await sleep(systemTimer, settleMs);
    const executions = executionsOf(world, caller.prefix);
    const history = { requests: recorder.requests(), answers: recorder.answers(), executions };
    return { violations: checkHistory(history), history };
}

function executionsOf({ cluster }: World, prefix: string): readonly Execution[] {
    return readExecutions(cluster.journals()).filter(execution => execution.call.startsWith(`${prefix}-`));
}

/** Sends the same call under one key through two entry instances, the second while the first may still be at it. */
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
    return recorder.book({ port, call, requestId: `${call}/${turn}`, ...(key === undefined ? {} : { key }) });
}

async function replace({ recorder, ...caller }: Caller, call: string): Promise<void> {
    await sleep(systemTimer, caller.random() * callsWithinMs);
    await recorder.replace({ port: portOf(caller), call, requestId: `${call}/only` });
}

async function chat({ recorder, ...caller }: Caller, call: string, isStreamed: boolean): Promise<void> {
    await sleep(systemTimer, caller.random() * callsWithinMs);
    const port = portOf(caller);
    await recorder.chat({ port, call, requestId: `${call}/only`, tokens: tokensPerAnswer, isStreamed });
}

function portOf({ world, random }: Pick<Caller, "world" | "random">): number {
    const { entries } = world.cluster;
    return entries[Math.floor(random() * entries.length)]!.port;
}
