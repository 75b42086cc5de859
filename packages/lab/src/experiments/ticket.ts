/** How long a ticket takes from its acceptance until it is in force in every process, with and without platform trouble. */
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { defaultSpec, operate, type ProcessCluster, startProcessCluster, submit } from "../cluster";
import { type PlatformFault } from "../platform";
import { type Experiment, type Figures, parseExperimentArgs, printResult } from "./experiment";

const spec = {
    ...defaultSpec,
    zones: 3,
    entriesPerZone: 5,
    instancesPerDomain: 1,
    replicasPerZone: 1,
    groupSize: 1,
};
const ticketsPerCase = 12;
const pollMs = 25;
const patienceMs = 30_000;
const pauseMs = 700;

/** What is wrong with the platform before the ticket is sent, and from its acceptance on. */
type Trouble = { readonly before: PlatformFault; readonly after: PlatformFault };

const troubles: Readonly<Record<string, Trouble>> = {
    platformUp: { before: {}, after: {} },
    platformSlow: { before: { slowMs: 400 }, after: { slowMs: 400 } },
    answersLost: { before: { loseAnswers: 0.3 }, after: { loseAnswers: 0.3 } },
    downAfterAcceptance: { before: {}, after: { down: true } },
};

const setFault = async (cluster: ProcessCluster, fault: PlatformFault): Promise<void> => {
    const url = `http://127.0.0.1:${cluster.platform.port}/lab/fault`;
    await (await fetch(url, { method: "POST", body: JSON.stringify(fault) })).text();
};

/** Resolves to how long the last process took to have the revision in force. */
async function untilInForce(cluster: ProcessCluster, revision: number, sinceMs: number): Promise<number> {
    const waits = cluster.entries.map(async entry => {
        while (systemTimer.nowMs() < sinceMs + patienceMs) {
            const status = await operate(entry.ports.operators, "/v1/status") as { config: { revision: number } };
            if (status.config.revision >= revision) {
                return systemTimer.nowMs() - sinceMs;
            }
            await sleep(systemTimer, pollMs);
        }
        return patienceMs;
    });
    return Math.max(...await Promise.all(waits));
}

async function measure(cluster: ProcessCluster, number: number, trouble: Trouble): Promise<number | undefined> {
    await setFault(cluster, trouble.before);
    const ticket = Ticket.parse({
        ticket: number,
        author: "lab",
        workspaces: { night: { keySha256: [String(number).padStart(64, "0")], services: ["assistant"] } },
    });
    const port = cluster.entries[number % cluster.entries.length]!.ports.operators;
    const verdict = await submit(port, ticket);
    const acceptedAtMs = systemTimer.nowMs();
    await setFault(cluster, trouble.after);
    const tookMs = verdict.kind === "accepted"
        ? await untilInForce(cluster, verdict.revision, acceptedAtMs)
        : undefined;
    await setFault(cluster, {});
    await sleep(systemTimer, pauseMs);
    return tookMs;
}

function figuresOf(tookMs: readonly (number | undefined)[]): Record<string, number> {
    const sorted = tookMs.filter(took => took !== undefined).sort((a, b) => a - b);
    return {
        inForceP50Ms: Math.round(sorted[Math.floor(sorted.length / 2)] ?? NaN),
        inForceWorstMs: Math.round(sorted.at(-1) ?? NaN),
        acceptedTickets: sorted.length,
        notAcceptedTickets: tookMs.length - sorted.length,
    };
}

export const ticket: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const cluster = await startProcessCluster(spec);
    try {
        const figures: Record<string, Figures[string]> = {};
        let number = 100;
        for (const [name, trouble] of Object.entries(troubles)) {
            if (policy !== undefined && policy !== name) {
                continue;
            }
            const tookMs: (number | undefined)[] = [];
            for (let index = 0; index < ticketsPerCase; index++) {
                tookMs.push(await measure(cluster, number++, trouble));
            }
            figures[name] = figuresOf(tookMs);
        }
        printResult("ticket", seed, figures);
        return 0;
    }
    finally {
        await cluster.stop();
    }
};
