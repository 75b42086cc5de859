/** Controls of an attempt that can be handed out before the attempt starts. */
import { type Attempt } from "./attempt";

export type AttemptControls = Attempt & {
    /** Connects the controls to the attempt, which is aborted if that was requested before. */
    readonly attach: (attempt: Attempt) => void;
};

export function makeAttemptControls(): AttemptControls {
    let attached: Attempt | undefined;
    let earlyAbortReason: string | undefined;
    return {
        abort: reason => {
            if (attached === undefined) {
                earlyAbortReason ??= reason;
                return;
            }
            attached.abort(reason);
        },
        resume: () => attached?.resume(),
        attach: attempt => {
            attached = attempt;
            if (earlyAbortReason !== undefined) {
                attempt.abort(earlyAbortReason);
            }
        },
    };
}
