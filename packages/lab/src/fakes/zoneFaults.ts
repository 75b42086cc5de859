/** Named faults and changes that a fuzz test applies to a fake zone one after the other. */
import { type FakeZone } from "./fakeZone";

/** One fault or change: its kind, the index of the instance or process that it hits, and how long it lasts. */
export type ZoneFault = { readonly kind: ZoneFaultName; readonly target: number; readonly durationMs: number };

type Handler = (zone: FakeZone, fault: ZoneFault) => void;

const enginesOf = (zone: FakeZone) => [...zone.engines.values()];
const pick = <T>(items: readonly T[], target: number): T => items[target % items.length]!;
const enginesInDomain = (zone: FakeZone, target: number) => {
    const { fabricDomain } = pick(enginesOf(zone), target).options;
    return enginesOf(zone).filter(engine => engine.options.fabricDomain === fabricDomain);
};

const handlers = {
    killInstance: (zone, { target }) => pick(enginesOf(zone), target).kill(),
    restartInstance: (zone, { target }) => pick(enginesOf(zone), target).restart(),
    pauseInstance: (zone, { target, durationMs }) => {
        const engine = pick(enginesOf(zone), target);
        engine.paused = true;
        zone.timer.after(durationMs, () => {
            engine.paused = false;
        });
    },
    stopDomain: (zone, { target, durationMs }) => {
        const engines = enginesInDomain(zone, target);
        engines.forEach(engine => engine.kill());
        zone.timer.after(durationMs, () => engines.forEach(engine => engine.restart()));
    },
    freezeProcess: (zone, { target, durationMs }) => pick(zone.controllers, target).pause(durationMs),
    freezeLeaseHolder: (zone, { durationMs }) => zone.controllers.find(other => other.mayAct())?.pause(durationMs),
    restartProcess: (zone, { target }) => zone.restartController(target % zone.controllers.length),
    restartAllProcesses: zone => zone.controllers.forEach((unused, index) => zone.restartController(index)),
    tableDown: (zone, { durationMs }) => setTableFault(zone, durationMs, { down: true }),
    tableSlow: (zone, { target, durationMs }) => setTableFault(zone, durationMs, { slowMs: 500 + target * 400 }),
    answersLost: (zone, { durationMs }) => setTableFault(zone, durationMs, { loseAnswers: 0.5 }),
    ordersLate: (zone, { target, durationMs }) => {
        zone.orderDelayMs = target * 200;
        zone.timer.after(durationMs, () => {
            zone.orderDelayMs = 5;
        });
    },
    nextChangeLate: (zone, { durationMs }) => {
        zone.nextChangeDelayMs = durationMs;
    },
    changeVersion: (zone, { target }) => zone.declare({ version: `v${target}` }),
    changeAdapter: (zone, { target }) => zone.declare({ adapter: `a${target}` }),
    recallInstance: (zone, { target }) => zone.recall("batch", [pick(enginesOf(zone), target).instance]),
    liftRecall: zone => zone.recall("batch", []),
    leaveInstance: (zone, { target }) => zone.leave(pick(enginesOf(zone), target).instance),
} satisfies Record<string, Handler>;

export type ZoneFaultName = keyof typeof handlers;

export const zoneFaultNames = Object.keys(handlers) as readonly ZoneFaultName[];

export function applyFault(zone: FakeZone, fault: ZoneFault): void {
    (handlers[fault.kind] as Handler)(zone, fault);
}

/** Clears the faults of the table and of order delivery. Stopped instances stay stopped. */
export function clearFaults(zone: FakeZone): void {
    zone.fault = { down: false, slowMs: 0, loseAnswers: 0 };
    zone.orderDelayMs = 5;
}

function setTableFault(zone: FakeZone, durationMs: number, fault: Partial<FakeZone["fault"]>): void {
    zone.fault = { ...zone.fault, ...fault };
    zone.timer.after(durationMs, () => {
        zone.fault = { down: false, slowMs: 0, loseAnswers: 0 };
    });
}
