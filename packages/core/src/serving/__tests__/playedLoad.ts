/**
 * A load played in virtual time: many entry instances place requests at a few engine groups, each by what it knows, with the
 * product's decisions; what callers get is counted. Groups work as the engine profile says: all running requests advance by
 * a pass, prompts are read between passes, and the rest waits.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { profile } from "../../engineGroups/__tests__/fakeEngines";
import {
    judgeStall,
    makeUpstreamLoad,
    passMs,
    place,
    type PlacingPolicy,
    predictFirstEventMs,
    readingMs,
    type UpstreamLoad,
} from "../index";

export type PlayedLoad = {
    readonly seed: number;
    readonly policy: PlacingPolicy;
    /** Whether processes tell each other their requests and which groups move. */
    readonly tellsPeers: boolean;
    readonly perSecond: number;
    /** Groups that stop for good after a while, with what they have. */
    readonly dying: number;
};

export type Outcome = {
    readonly requests: number;
    /** First events within the objective. */
    readonly inTime: number;
    /** Sends that were given up at a group that moved. */
    readonly wronglyGivenUp: number;
};

const processes = 12;
const groups = 8;
const seconds = 20;
const stepMs = 5;
const peersEveryMs = 300;
/** Processes tell at different instants. */
const tellApartMs = 25;
const objectiveMs = 300;
const promptTokens = 700;
const passes = 31;
const diesAfterMs = 6_000;
const resolution = 1_000_000;
const model = profile.models[1]!;

type Send = { readonly process: number; group: number; sentAtMs: number; passesLeft: number; moves: number };
type Request = { readonly arrivedAtMs: number; readonly send: Send; firstEventAtMs: number | undefined };
type Group = {
    readonly waiting: Request[];
    running: Request[];
    busyUntilMs: number;
    movedAtMs: number;
    isDead: boolean;
};

/** Plays one load and counts. */
export function playLoad({ seed, policy, tellsPeers, perSecond, dying }: PlayedLoad): Outcome {
    const generator = xoroshiro128plus(seed);
    const random = (): number => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
    const fleet = Array.from({ length: groups }, (): Group => ({
        waiting: [],
        running: [],
        busyUntilMs: 0,
        movedAtMs: 0,
        isDead: false,
    }));
    const known: readonly (readonly UpstreamLoad[])[] = Array.from(
        { length: processes },
        () => fleet.map(() => makeUpstreamLoad()),
    );
    const requests: Request[] = [];
    let wronglyGivenUp = 0;

    const choose = (process: number, nowMs: number, without: number | undefined): number => {
        const candidates = fleet.flatMap((unused, group) => {
            const load = known[process]![group]!;
            return group === without ? [] : [{
                id: String(group),
                slots: profile.slots,
                load: load.estimate(nowMs),
                own: load.own(),
                isLocal: true,
                isConnected: true,
                isStalled: load.isStalled(nowMs),
            }];
        });
        const work = { promptTokens, answerTokens: profile.usualAnswerTokens };
        const predict = ({ load }: { readonly load: number }): number =>
            predictFirstEventMs(profile, model, load, work);
        return Number(place({ candidates, predict, random }, policy)!.id);
    };
    const sendTo = (request: Request, group: number, nowMs: number): void => {
        const { send } = request;
        Object.assign(send, { group, sentAtMs: nowMs, passesLeft: passes });
        known[send.process]![group]!.start();
        fleet[group]!.waiting.push(request);
    };
    const leave = (request: Request): void => {
        const group = fleet[request.send.group]!;
        group.running = group.running.filter(other => other !== request);
        if (group.waiting.includes(request)) {
            group.waiting.splice(group.waiting.indexOf(request), 1);
        }
        known[request.send.process]![request.send.group]!.end();
    };
    const arrive = (nowMs: number): void => {
        const process = Math.floor(random() * processes);
        const send: Send = { process, group: 0, sentAtMs: nowMs, passesLeft: passes, moves: 0 };
        const request: Request = { arrivedAtMs: nowMs, send, firstEventAtMs: undefined };
        requests.push(request);
        sendTo(request, choose(process, nowMs, undefined), nowMs);
    };
    const work = (group: Group, index: number, nowMs: number): void => {
        if (group.isDead || nowMs < group.busyUntilMs) {
            return;
        }
        for (const request of [...group.running]) {
            request.firstEventAtMs ??= nowMs;
            request.send.passesLeft--;
            known[request.send.process]![index]!.noteProgress(nowMs);
            group.movedAtMs = nowMs;
            if (request.send.passesLeft === 0) {
                leave(request);
            }
        }
        const admitted = group.waiting.splice(0, profile.slots - group.running.length);
        group.running.push(...admitted);
        const readMs = admitted.length * readingMs(profile, model, promptTokens);
        group.busyUntilMs = nowMs
            + (group.running.length > 0 ? passMs(profile, model, group.running.length) + readMs : 0);
    };
    const watch = (request: Request, nowMs: number): void => {
        const { send } = request;
        const load = known[send.process]![send.group]!;
        const verdict = judgeStall({
            isEngine: true,
            objectiveMs,
            longestPauseMs: objectiveMs,
            predictedMs: objectiveMs / 2,
            sentAtMs: send.sentAtMs,
            hasHead: false,
            lastBytesAtMs: 0,
            upstreamProgressAtMs: load.progressAtMs(),
        }, nowMs);
        if (verdict !== "moves") {
            load.noteSilence(nowMs);
        }
        if (verdict === "stalled" && send.moves === 0) {
            send.moves++;
            wronglyGivenUp += fleet[send.group]!.isDead ? 0 : 1;
            leave(request);
            sendTo(request, choose(send.process, nowMs, send.group), nowMs);
        }
    };
    /** What each process said last of its requests at each group. */
    const said = known.map(() => fleet.map(() => 0));
    const tell = (process: number, nowMs: number): void =>
        fleet.forEach((unused, group) => {
            const teller = known[process]![group]!;
            said[process]![group] = teller.own();
            const all = said.reduce((sum, counts) => sum + counts[group]!, 0);
            known.forEach((loads, other) => {
                loads[group]!.notePeers(all - said[other]![group]!, nowMs);
                loads[group]!.noteHeardProgress(teller.progressAtMs());
            });
        });

    for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += stepMs) {
        if (random() < perSecond * stepMs / 1_000) {
            arrive(nowMs);
        }
        if (nowMs === diesAfterMs) {
            fleet.slice(0, dying).forEach(group => group.isDead = true);
        }
        fleet.forEach((group, index) => work(group, index, nowMs));
        requests.filter(({ firstEventAtMs }) => firstEventAtMs === undefined).forEach(request => watch(request, nowMs));
        known.forEach((unused, process) => {
            if (tellsPeers && (nowMs + process * tellApartMs) % peersEveryMs === 0) {
                tell(process, nowMs);
            }
        });
    }
    const isInTime = ({ arrivedAtMs, firstEventAtMs }: Request): boolean =>
        firstEventAtMs !== undefined && firstEventAtMs - arrivedAtMs <= objectiveMs;
    return { requests: requests.length, inTime: requests.filter(isInTime).length, wronglyGivenUp };
}
