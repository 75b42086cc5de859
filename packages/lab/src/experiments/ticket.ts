/**
 * Measures the time from a ticket's acceptance until it is in force in every process, with and without platform faults.
 */
import { Ticket } from "@rattanquay/schema";
import { sleep, systemTimer } from "@rattanquay/timer";
import { callOperatorApi, defaultSpec, type ProcessCluster, startProcessCluster, submit } from "../cluster";
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
const inForceTimeoutMs = 30_000;
const pauseBetweenTicketsMs = 700;

/** The platform's faults before the ticket is sent and from its acceptance on. */
type PlatformScenario = { readonly before: PlatformFault; readonly after: PlatformFault };

const scenarios: Readonly<Record<string, PlatformScenario>> = {
    platformUp: { before: {}, after: {} },
    platformSlow: { before: { slowMs: 400 }, after: { slowMs: 400 } },
    answersLost: { before: { loseAnswers: 0.3 }, after: { loseAnswers: 0.3 } },
    downAfterAcceptance: { before: {}, after: { down: true } },
};

const setPlatformFault = async (cluster: ProcessCluster, fault: PlatformFault): Promise<void> => {
    const url = `http://127.0.0.1:${cluster.platform.port}/lab/fault`;
    await (await fetch(url, { method: "POST", body: JSON.stringify(fault) })).text();
};

/** Resolves to the time from `sinceMs` until the last process had the revision in force. */
async function measureTimeUntilInForce(cluster: ProcessCluster, revision: number, sinceMs: number): Promise<number> {
    const durations = cluster.entries.map(async entry => {
        while (systemTimer.nowMs() < sinceMs + inForceTimeoutMs) {
            const status = await callOperatorApi(entry.ports.operators, "/v1/status") as {
                config: { revision: number };
            };
            if (status.config.revision >= revision) {
                return systemTimer.nowMs() - sinceMs;
            }
            await sleep(systemTimer, pollMs);
        }
        return inForceTimeoutMs;
    });
    return Math.max(...await Promise.all(durations));
}

async function measureTicket(
    cluster: ProcessCluster,
    number: number,
    scenario: PlatformScenario,
): Promise<number | undefined> {
    await setPlatformFault(cluster, scenario.before);
    const ticket = Ticket.parse({
        ticket: number,
        author: "lab",
        workspaces: { night: { keySha256: [String(number).padStart(64, "0")], services: ["assistant"] } },
    });
    const port = cluster.entries[number % cluster.entries.length]!.ports.operators;
    const verdict = await submit(port, ticket);
    const acceptedAtMs = systemTimer.nowMs();
    await setPlatformFault(cluster, scenario.after);
    const durationMs = verdict.kind === "accepted"
        ? await measureTimeUntilInForce(cluster, verdict.revision, acceptedAtMs)
        : undefined;
    await setPlatformFault(cluster, {});
    await sleep(systemTimer, pauseBetweenTicketsMs);
    return durationMs;
}

function figuresOf(durationsMs: readonly (number | undefined)[]): Record<string, number> {
    const sorted = durationsMs.filter(durationMs => durationMs !== undefined).sort((a, b) => a - b);
    return {
        inForceP50Ms: Math.round(sorted[Math.floor(sorted.length / 2)] ?? NaN),
        inForceWorstMs: Math.round(sorted.at(-1) ?? NaN),
        acceptedTickets: sorted.length,
        notAcceptedTickets: durationsMs.length - sorted.length,
    };
}

export const ticket: Experiment = async args => {
    const { seed, policy } = parseExperimentArgs(args);
    const cluster = await startProcessCluster(spec);
    try {
        const figures: Record<string, Figures[string]> = {};
        let number = 100;
        for (const [name, scenario] of Object.entries(scenarios)) {
            if (policy !== undefined && policy !== name) {
                continue;
            }
            const durationsMs: (number | undefined)[] = [];
            for (let index = 0; index < ticketsPerCase; index++) {
                durationsMs.push(await measureTicket(cluster, number++, scenario));
            }
            figures[name] = figuresOf(durationsMs);
        }
        printResult("ticket", seed, figures);
        return 0;
    }
    finally {
        await cluster.stop();
    }
};
