/** The configuration that one process has in force, subject by subject. */
import { type Configuration } from "../config";
import { type Surroundings } from "../surroundings";

/** The answer to `GET /v1/config`; subjects are keyed as tickets name them. */
export function configInForce({ settings, timer }: Surroundings, { snapshot, confirmedAtMs }: Configuration) {
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
