/** A probe that ends with an error is one without an answer. */
import { type UpstreamRecord } from "@rattanquay/schema";
import { silentLog } from "@rattanquay/telemetry";
import { sleep, systemTimer, VirtualTimer } from "@rattanquay/timer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EngineControl } from "../../ports";
import { makeProber } from "../prober";

const makeRecord = (id: string): UpstreamRecord => ({
    id,
    service: "models",
    address: "10.0.0.1:80",
    availabilityZone: "a",
    slots: 1,
    isDraining: false,
    bornAtMs: 1,
    stagedModels: [],
    loadedModels: [],
});

test("LOST: an instance whose probes end with an error counts as silent, and no promise rejects", async () => {
    const timer = new VirtualTimer();
    const rejections: unknown[] = [];
    const note = (error: unknown): void => void rejections.push(error);
    process.on("unhandledRejection", note);
    const report = { bornAtMs: 1, acceptedOrders: 0, isBusy: false, waiting: 0, running: 0, pace: 1 };
    const engines = {
        report: async ({ id }: UpstreamRecord) => {
            if (id === "odd") {
                throw new TypeError("Invalid character in header content");
            }
            return report;
        },
    } as Partial<EngineControl> as EngineControl;
    const prober = makeProber(engines, timer, silentLog);
    const records = ["odd", "sound-1", "sound-2"].map(makeRecord);
    for (let pass = 0; pass < 6; pass++) {
        prober.probe(records, new Map(records.map(({ id }) => [id, 100])));
        await sleep(systemTimer, 1);
        timer.advance(100);
    }
    process.off("unhandledRejection", note);
    assert.equal(rejections, []);
    assert.equal([...prober.unreachable()], ["odd"]);
});

test.run();
