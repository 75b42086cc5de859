/** Named fault scenarios: each injects a fault while calls run, and heals it afterwards. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { countServingReplicas, waitUntil } from "../cluster";
import { postControl } from "../httpServer";
import { type PlatformFault } from "../platform";
import { type ServiceFault } from "../service";
import { serviceTimeoutMs, type Testbed } from "./testbed";

export type Scenario = {
    /** Injects the fault while the round's calls are being sent. */
    readonly injectFault: (testbed: Testbed, random: () => number) => Promise<void>;
    /** Ends the fault; where it killed a program, restarts it or waits until the cluster serves without it. */
    readonly heal: (testbed: Testbed) => Promise<void>;
};

const healTimeoutMs = 15_000;
/** Longer than the service's timeout, the platform's timeout and the maximum age of evidence. */
const freezeMs = 2 * serviceTimeoutMs;
const doNothing = async (): Promise<void> => undefined;
const randomInteger = (random: () => number, from: number, to: number): number =>
    Math.floor(from + random() * (to - from));

const makeServiceFault = (fault: ServiceFault): Scenario => ({
    injectFault: ({ cluster }) => postControl(cluster.services[0]!.port, "/lab/fault", fault),
    heal: async ({ cluster }) => {
        const { name, child, port } = cluster.services[0]!;
        if (child.exitCode !== null || child.signalCode !== null) {
            await cluster.restartService(name);
            return;
        }
        await postControl(port, "/lab/fault", {});
    },
});

const makePlatformFault = (fault: PlatformFault): Scenario => ({
    injectFault: ({ cluster }) => postControl(cluster.platform.port, "/lab/fault", fault),
    heal: ({ cluster }) => postControl(cluster.platform.port, "/lab/fault", {}),
});

const healLinks = async ({ links }: Testbed): Promise<void> => links.forEach(link => link.setFault({ kind: "none" }));

const slowPlatformAndServices = async ({ cluster }: Testbed): Promise<void> => {
    await postControl(cluster.platform.port, "/lab/fault", { slowMs: 60 } satisfies PlatformFault);
    await Promise.all(cluster.services.map(({ port }) => postControl(port, "/lab/fault", { delayMs: 150 })));
};

const clearLatency = async ({ cluster }: Testbed): Promise<void> => {
    await postControl(cluster.platform.port, "/lab/fault", {});
    await Promise.all(cluster.services.map(({ port }) => postControl(port, "/lab/fault", {})));
};

const waitUntilServing = ({ cluster }: Testbed): Promise<void> =>
    waitUntil("all entry instances to serve", healTimeoutMs, async () => {
        const serving = await Promise.all(
            cluster.entries.map(({ ports }) => countServingReplicas(ports.operators, "assistant").catch(() => 0)),
        );
        return serving.every(count => count > 0);
    });

export const scenarios = {
    calm: { injectFault: doNothing, heal: doNothing },
    serviceDiesBeforeRun: makeServiceFault({ cut: "beforeRun", dies: true }),
    serviceDiesAfterRun: makeServiceFault({ cut: "afterRun", delayMs: 50, dies: true }),
    serviceDiesDuringAnswer: makeServiceFault({ cut: "duringAnswer", dies: true }),
    serviceDiesAfterAnswer: makeServiceFault({ cut: "afterAnswer", dies: true }),
    serviceCutsAfterRun: makeServiceFault({ cut: "afterRun" }),
    serviceSlow: makeServiceFault({ delayMs: 2 * serviceTimeoutMs }),
    requestsCut: {
        injectFault: async ({ links }, random) =>
            links.forEach(link =>
                link.setFault({ kind: "cutRequest", afterBytes: () => randomInteger(random, 1, 700) })
            ),
        heal: healLinks,
    },
    answersCut: {
        injectFault: async ({ links }, random) =>
            links.forEach(link =>
                link.setFault({ kind: "cutAnswer", afterBytes: () => randomInteger(random, 1, 400) })
            ),
        heal: healLinks,
    },
    linkSilent: { injectFault: async ({ links }) => links[0]!.setFault({ kind: "silent" }), heal: healLinks },
    oneCutsOtherRefuses: {
        injectFault: async ({ links }, random) => {
            links[0]!.setFault({ kind: "cutAnswer", afterBytes: () => randomInteger(random, 1, 100) });
            links[1]!.setFault({ kind: "refused" });
        },
        heal: healLinks,
    },
    platformDown: makePlatformFault({ down: true }),
    platformSlow: makePlatformFault({ slowMs: 300 }),
    platformTooSlow: makePlatformFault({ slowMs: 1_300 }),
    platformLosesAnswers: makePlatformFault({ loseAnswers: 0.6 }),
    entryFrozen: {
        injectFault: async (testbed, random) => {
            await slowPlatformAndServices(testbed);
            const { child } = testbed.cluster.entries[0]!;
            await sleep(systemTimer, randomInteger(random, 50, 400));
            child.kill("SIGSTOP");
            await sleep(systemTimer, freezeMs);
            child.kill("SIGCONT");
        },
        heal: clearLatency,
    },
    entryKilled: {
        injectFault: async (testbed, random) => {
            await slowPlatformAndServices(testbed);
            await sleep(systemTimer, randomInteger(random, 50, 400));
            testbed.cluster.entries[0]!.child.kill("SIGKILL");
        },
        heal: async testbed => {
            await clearLatency(testbed);
            await testbed.cluster.restartEntry(testbed.cluster.entries[0]!.name);
            await waitUntilServing(testbed);
        },
    },
    streamsCut: {
        injectFault: async ({ cluster }, random) => {
            for (let cut = 0; cut < 5; cut++) {
                await sleep(systemTimer, randomInteger(random, 20, 120));
                const engine = cluster.engines[randomInteger(random, 0, cluster.engines.length)]!;
                await postControl(engine.port, "/lab/fault", { cutStreams: true });
            }
        },
        heal: doNothing,
    },
    engineKilled: {
        injectFault: async ({ cluster }, random) => {
            await sleep(systemTimer, randomInteger(random, 50, 300));
            cluster.engines[0]!.child.kill("SIGKILL");
        },
        heal: waitUntilServing,
    },
} satisfies Record<string, Scenario>;
