/** The configuration that is in force in one process, listed by subject. */
import { type Configuration } from "../config";
import { type ProcessContext } from "../processContext";

/** The response to `GET /v1/config`. Subjects have the same keys as in tickets. */
export function configInForce({ settings, timer }: ProcessContext, { snapshot, confirmedAtMs }: Configuration) {
    const { revision, highestTicket, services, workspaces, recalls } = snapshot;
    const folders = { services, workspaces, recalls };
    const subjects = Object.entries(folders).flatMap(([folder, states]) =>
        [...states].map(([name, state]) => [`${folder}/${name}`, state] as const)
    );
    return {
        process: settings.process.id,
        revision,
        highestTicket,
        confirmedMsAgo: Math.round(timer.nowMs() - confirmedAtMs),
        subjects: Object.fromEntries(subjects),
    };
}
