/** Faults by name: what is done while calls run, and how it is made good again. */
import { sleep, systemTimer } from "@rattanquay/timer";
import { servingReplicas, until } from "../cluster";
import { control } from "../httpServer";
import { type PlatformFault } from "../platform";
import { type ServiceFault } from "../service";
import { serviceTimeoutMs, type World } from "./world";

export type Scenario = {
    /** Sets the fault in, within the time that the calls take to be made. */
    readonly hamper: (world: World, random: () => number) => Promise<void>;
    readonly heal: (world: World) => Promise<void>;
};

const healTimeoutMs = 15_000;
/** Beyond the service's timeout, the platform's and the evidence's age. */
const frozenMs = 2 * serviceTimeoutMs;
const nothing = async (): Promise<void> => undefined;
const between = (random: () => number, from: number, to: number): number => Math.floor(from + random() * (to - from));

const faultService = (fault: ServiceFault): Scenario => ({
    hamper: ({ cluster }) => control(cluster.services[0]!.port, "/lab/fault", fault),
    heal: async ({ cluster }) => {
        const { name, child, port } = cluster.services[0]!;
        if (child.exitCode !== null || child.signalCode !== null) {
            await cluster.restartService(name);
            return;
        }
        await control(port, "/lab/fault", {});
    },
});

const faultPlatform = (fault: PlatformFault): Scenario => ({
    hamper: ({ cluster }) => control(cluster.platform.port, "/lab/fault", fault),
    heal: ({ cluster }) => control(cluster.platform.port, "/lab/fault", {}),
});

const healLinks = async ({ links }: World): Promise<void> => links.forEach(link => link.setFault({ kind: "none" }));

const slowEverything = async ({ cluster }: World): Promise<void> => {
    await control(cluster.platform.port, "/lab/fault", { slowMs: 60 } satisfies PlatformFault);
    await Promise.all(cluster.services.map(({ port }) => control(port, "/lab/fault", { delayMs: 150 })));
};

const healSpeed = async ({ cluster }: World): Promise<void> => {
    await control(cluster.platform.port, "/lab/fault", {});
    await Promise.all(cluster.services.map(({ port }) => control(port, "/lab/fault", {})));
};

const untilServing = ({ cluster }: World): Promise<void> =>
    until("all entry instances to serve", healTimeoutMs, async () => {
        const serving = await Promise.all(
            cluster.entries.map(({ ports }) => servingReplicas(ports.operators, "assistant").catch(() => 0)),
        );
        return serving.every(count => count > 0);
    });

export const scenarios = {
    calm: { hamper: nothing, heal: nothing },
    serviceDiesBeforeRun: faultService({ cut: "beforeRun", dies: true }),
    serviceDiesAfterRun: faultService({ cut: "afterRun", delayMs: 50, dies: true }),
    serviceDiesDuringAnswer: faultService({ cut: "duringAnswer", dies: true }),
    serviceDiesAfterAnswer: faultService({ cut: "afterAnswer", dies: true }),
    serviceCutsAfterRun: faultService({ cut: "afterRun" }),
    serviceSlow: faultService({ delayMs: 2 * serviceTimeoutMs }),
    requestsCut: {
        hamper: async ({ links }, random) =>
            links.forEach(link => link.setFault({ kind: "cutRequest", afterBytes: () => between(random, 1, 700) })),
        heal: healLinks,
    },
    answersCut: {
        hamper: async ({ links }, random) =>
            links.forEach(link => link.setFault({ kind: "cutAnswer", afterBytes: () => between(random, 1, 400) })),
        heal: healLinks,
    },
    linkSilent: { hamper: async ({ links }) => links[0]!.setFault({ kind: "silent" }), heal: healLinks },
    oneCutsOtherRefuses: {
        hamper: async ({ links }, random) => {
            links[0]!.setFault({ kind: "cutAnswer", afterBytes: () => between(random, 1, 100) });
            links[1]!.setFault({ kind: "refused" });
        },
        heal: healLinks,
    },
    platformDown: faultPlatform({ down: true }),
    platformSlow: faultPlatform({ slowMs: 300 }),
    platformTooSlow: faultPlatform({ slowMs: 1_300 }),
    platformLosesAnswers: faultPlatform({ loseAnswers: 0.6 }),
    entryFrozen: {
        hamper: async (world, random) => {
            await slowEverything(world);
            const { child } = world.cluster.entries[0]!;
            await sleep(systemTimer, between(random, 50, 400));
            child.kill("SIGSTOP");
            await sleep(systemTimer, frozenMs);
            child.kill("SIGCONT");
        },
        heal: healSpeed,
    },
    entryKilled: {
        hamper: async (world, random) => {
            await slowEverything(world);
            await sleep(systemTimer, between(random, 50, 400));
            world.cluster.entries[0]!.child.kill("SIGKILL");
        },
        heal: async world => {
            await healSpeed(world);
            await world.cluster.restartEntry(world.cluster.entries[0]!.name);
            await untilServing(world);
        },
    },
    streamsCut: {
        hamper: async ({ cluster }, random) => {
            for (let cut = 0; cut < 5; cut++) {
                await sleep(systemTimer, between(random, 20, 120));
                const engine = cluster.engines[between(random, 0, cluster.engines.length)]!;
                await control(engine.port, "/lab/fault", { cutStreams: true });
            }
        },
        heal: nothing,
    },
    engineKilled: {
        hamper: async ({ cluster }, random) => {
            await sleep(systemTimer, between(random, 50, 300));
            cluster.engines[0]!.child.kill("SIGKILL");
        },
        heal: untilServing,
    },
} satisfies Record<string, Scenario>;
