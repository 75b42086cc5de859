/**
 * What an attempt counts at its upstream while it runs: its long prompt, the bytes of its body, and the watches for stalls and
 * for prompts that end upstreams. Everything is counted before the request is opened and undone exactly once.
 */
import { type AttemptWatch, type ObservedEnd } from "../quarantine";
import { promptRequestOf } from "./admittedRequest";
import { type AttemptRunOptions } from "./attemptRun";

export type AttemptBookkeeping = {
    /** Counts the attempt. If it throws, `close` undoes what was counted until then. */
    readonly open: () => void;
    /** Records that the upstream has begun to answer: its long prompt, if it has one, holds up no other request. */
    readonly endPrefill: () => void;
    /** Records that the upstream has written a part of a successful answer. */
    readonly noteOutput: () => void;
    /** Undoes all counts but the watch for prompts, which learns by `close` how the attempt ended. */
    readonly release: () => void;
    /** Undoes all counts. Calls after the first have no effect. */
    readonly close: (end: ObservedEnd) => void;
};

export type BookkeepingHooks = {
    readonly isStalled: (nowMs: number) => boolean;
    readonly abort: (reason: string) => void;
};

export function makeAttemptBookkeeping(
    options: AttemptRunOptions,
    { isStalled, abort }: BookkeepingHooks,
): AttemptBookkeeping {
    const { admitted, dependencies, placement: { upstream } } = options;
    const undoSteps: (() => void)[] = [];
    let endPrefill = (): void => undefined;
    let watch: AttemptWatch | undefined;
    const release = (): void => undoSteps.splice(0).forEach(undo => undo());
    return {
        open: () => {
            endPrefill = startPrefill(options);
            undoSteps.push(endPrefill);
            undoSteps.push(dependencies.upstreamBytes.add(upstream.record.id, admitted.body.length));
            undoSteps.push(
                dependencies.stallWatch.add(isStalled, () => abort("nothing came from the upstream")),
            );
            watch = dependencies.quarantine.watch(promptRequestOf(admitted), upstream, abort);
        },
        endPrefill: () => endPrefill(),
        noteOutput: () => watch?.noteOutput(),
        release,
        close: end => {
            release();
            const closed = watch;
            watch = undefined;
            closed?.noteEnd(end);
        },
    };
}

/** Counts a long prompt in the load of its upstream. The returned function ends that. */
function startPrefill({ placement: { upstream, extraPrefillMs }, dependencies }: AttemptRunOptions): () => void {
    return extraPrefillMs === 0
        ? () => undefined
        : dependencies.registry.startPrefill(upstream, extraPrefillMs, dependencies.context.timer.nowMs());
}
