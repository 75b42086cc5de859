/** A fleet of processes that exchange reports in virtual time, for the tests of quarantines. */
import { VirtualTimer } from "@rattanquay/timer";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { type QuarantineContent, type QuarantineEvent, SegmentQuarantine } from "../index";

export const scope = "drafts/large";
const stepMs = 25;
const pulseMs = 250;

export type FleetProcess = {
    readonly quarantine: SegmentQuarantine;
    readonly events: QuarantineEvent[];
    /** A suspended process neither steps nor receives; what is sent to it arrives when it goes on. */
    isSuspended: boolean;
};

/** What the callers of one workspace do. */
export type Callers = {
    /** Reports that an upstream ended with a waiting request of one process. */
    readonly crash: (process: number, crash: string, ...segments: readonly string[]) => void;
    readonly check: (process: number, ...segments: readonly string[]) => "allowed" | "trial" | "refused";
};

/** `crash` and `check` are those of the workspace "alpha". */
export type Fleet = Callers & {
    readonly processes: readonly FleetProcess[];
    readonly nowMs: () => number;
    /** How often any process has sent all others a quarantine, and how often a report that a segment is sound. */
    readonly announced: () => { readonly quarantines: number; readonly sound: number };
    readonly advance: (durationMs: number) => void;
    readonly of: (workspace: string) => Callers;
    readonly sound: (process: number, ...segments: readonly string[]) => void;
    /** Starts a process that knows nothing and requests the state of another. */
    readonly join: (from: number) => number;
    readonly resume: (process: number) => void;
};

export function makeFleet(size: number, deliveryMs = 10): Fleet {
    const timer = new VirtualTimer();
    const generator = xoroshiro128plus(11);
    const random = (): number => unsafeUniformIntDistribution(0, 999_999, generator) / 1_000_000;
    const processes: FleetProcess[] = [];
    const announced = { quarantines: 0, sound: 0 };
    const inboxes = new Map<FleetProcess, QuarantineContent[]>();
    const deliver = (to: FleetProcess, content: QuarantineContent): void => {
        timer.after(deliveryMs, () => {
            if (to.isSuspended) {
                inboxes.set(to, [...inboxes.get(to) ?? [], content]);
                return;
            }
            to.quarantine.receive(content, timer.nowMs());
        });
    };
    const broadcast = (from: FleetProcess): void => {
        const content = from.quarantine.step(timer.nowMs());
        announced.quarantines += content.quarantines.length > 0 ? 1 : 0;
        announced.sound += content.sound.length > 0 ? 1 : 0;
        if (content.crashes.length + content.sound.length + content.quarantines.length > 0) {
            processes.filter(to => to !== from).forEach(to => deliver(to, content));
        }
    };
    const start = (): FleetProcess => {
        const events: QuarantineEvent[] = [];
        const quarantine = new SegmentQuarantine({
            onEvent: event => events.push(event),
            random,
            processes: () => size,
        });
        const process: FleetProcess = { quarantine, events, isSuspended: false };
        processes.push(process);
        timer.every(stepMs, () => process.isSuspended || broadcast(process));
        quarantine.pulse(timer.nowMs());
        timer.every(pulseMs, () => process.isSuspended || quarantine.pulse(timer.nowMs()));
        return process;
    };
    Array.from({ length: size }, start);
    const of: Fleet["of"] = workspace => ({
        crash: (process, crash, ...segments) => {
            const prompts = [{ workspace, segments: [...segments] }];
            processes[process]!.quarantine.noteCrash({ crash, scope, prompts }, timer.nowMs());
        },
        check: (process, ...segments) => {
            const prompt = { workspace, segments: [...segments] };
            const { kind } = processes[process]!.quarantine.check(scope, prompt, timer.nowMs());
            if (kind === "trial") {
                broadcast(processes[process]!);
            }
            return kind;
        },
    });
    return {
        ...of("alpha"),
        of,
        processes,
        nowMs: timer.nowMs,
        announced: () => announced,
        advance: durationMs => timer.advance(durationMs),
        sound: (process, ...segments) =>
            processes[process]!.quarantine.noteSound(scope, segments, timer.nowMs(), timer.nowMs()),
        join: from => {
            const joined = start();
            joined.quarantine.receive(processes[from]!.quarantine.snapshot(timer.nowMs()), timer.nowMs());
            return processes.length - 1;
        },
        resume: process => {
            const resumed = processes[process]!;
            resumed.isSuspended = false;
            resumed.quarantine.pulse(timer.nowMs());
            (inboxes.get(resumed) ?? []).forEach(content => resumed.quarantine.receive(content, timer.nowMs()));
            inboxes.delete(resumed);
        },
    };
}
