/**
 * Holds placements back after a pause of the process, in which the cluster state may have changed unnoticed.
 *
 * A pause is a gap of the monotonic clock, for example because the process was stopped and continued. Placements go on once
 * the store or a relay has answered a question that was asked after the pause, and after a fixed time in any case.
 */
import { type GatewayContext } from "../gatewayContext";

export type PlacementGuard = {
    /** Resolves when requests may be placed again; undefined if they may be placed now. */
    readonly heldBack: () => Promise<void> | undefined;
    readonly stop: () => void;
};

/** For deployments that ask for no such bound. */
export const openPlacementGuard: PlacementGuard = { heldBack: () => undefined, stop: () => undefined };

const checkEveryMs = 200;
/** Longer gaps count as pauses; a process that is short of processor time has shorter ones. */
const minPauseMs = 1_000;
/** After this time, placements use the last known state. */
const maxHoldMs = 1_000;
const confirmAgainMs = 150;

type Hold = { readonly sinceMs: number; readonly over: Promise<void>; readonly end: () => void };

/** `confirm` asks for the newest cluster state, and resolves to whether the store or a relay has answered. */
export function makePlacementGuard(
    { timer, log }: Pick<GatewayContext, "timer" | "log">,
    confirm: () => Promise<boolean>,
): PlacementGuard {
    let seenAtMs = timer.nowMs();
    let pauses = 0;
    let hold: Hold | undefined;

    const release = (pause: number, isConfirmed: boolean): void => {
        if (pause === pauses && hold !== undefined) {
            log.info("placementsResumed", { isConfirmed, heldMs: Math.round(timer.nowMs() - hold.sinceMs) });
            hold.end();
            hold = undefined;
        }
    };
    const askForState = async (pause: number): Promise<void> => {
        const isConfirmed = await confirm();
        if (isConfirmed) {
            release(pause, true);
        }
        else if (pause === pauses && hold !== undefined) {
            timer.after(confirmAgainMs, () => void askForState(pause));
        }
    };
    const begin = (gapMs: number): void => {
        pauses++;
        const pause = pauses;
        log.warn("placementsHeld", { gapMs: Math.round(gapMs) });
        hold ??= makeHold(timer.nowMs());
        timer.after(maxHoldMs, () => release(pause, false));
        void askForState(pause);
    };
    const check = (): void => {
        const nowMs = timer.nowMs();
        const gapMs = nowMs - seenAtMs;
        seenAtMs = nowMs;
        if (gapMs > minPauseMs) {
            begin(gapMs);
        }
    };
    const cancel = timer.every(checkEveryMs, check);
    return {
        heldBack: () => {
            check();
            return hold?.over;
        },
        stop: cancel,
    };
}

function makeHold(sinceMs: number): Hold {
    let end = (): void => undefined;
    const over = new Promise<void>(resolve => {
        end = resolve;
    });
    return { sinceMs, over, end: () => end() };
}
