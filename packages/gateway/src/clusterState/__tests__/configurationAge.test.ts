/** Guards against a configuration that counts as confirmed although a newer one may have existed for some time. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeGatewayMetrics } from "../../metrics";
import { type ConfigurationAge, confirmedAgeMs, makeConfigurationAge } from "../configurationAge";

type Step = (age: ConfigurationAge) => void;

const inForce = (version: number, atMs: number, origin: "store" | "peer" = "store"): Step => age =>
    age.noteInForce(version, origin, atMs);
const storeAnswer = (askedAtMs: number): Step => age => age.noteStoreAnswer(askedAtMs);
const notice = (configVersion: number, atMs: number, { isCurrent = true, isLeaving = false } = {}): Step => age =>
    age.noteNotice({ configVersion, isCurrent, isLeaving }, atMs);

const cases: readonly {
    name: string;
    steps: readonly Step[];
    confirmedAtMs: number | undefined;
    newestKnownVersion?: number;
}[] = [
    { name: "a copy of a peer is not confirmed by itself", steps: [inForce(3, 10, "peer")], confirmedAtMs: undefined },
    {
        name: "an answer of the store confirms as of its question",
        steps: [inForce(3, 10), storeAnswer(20)],
        confirmedAtMs: 20,
    },
    {
        name: "an answer to an earlier question that comes later does not make it older",
        steps: [inForce(3, 10), storeAnswer(30), storeAnswer(20)],
        confirmedAtMs: 30,
    },
    {
        name: "a newer version keeps the confirmation of the one that it replaces",
        steps: [inForce(3, 10), storeAnswer(20), inForce(4, 30, "peer")],
        confirmedAtMs: 20,
    },
    {
        name: "a current relay with the same version confirms",
        steps: [inForce(3, 10), notice(3, 40)],
        confirmedAtMs: 40,
    },
    {
        name: "a current relay with an older version confirms",
        steps: [inForce(3, 10), notice(2, 40)],
        confirmedAtMs: 40,
    },
    {
        name: "a relay that is not current confirms nothing",
        steps: [inForce(3, 10), notice(3, 40, { isCurrent: false })],
        confirmedAtMs: undefined,
    },
    {
        name: "a relay that leaves confirms nothing",
        steps: [inForce(3, 10), notice(3, 40, { isLeaving: true })],
        confirmedAtMs: undefined,
    },
    {
        name: "a newer version at a relay confirms nothing",
        steps: [inForce(3, 10), notice(4, 40)],
        confirmedAtMs: undefined,
        newestKnownVersion: 4,
    },
    {
        name: "nothing confirms a version once a newer one is known, even of a relay that is not current",
        steps: [inForce(3, 10), notice(4, 40, { isCurrent: false }), storeAnswer(50), notice(3, 60)],
        confirmedAtMs: undefined,
        newestKnownVersion: 4,
    },
    {
        name: "the announced version is confirmed as of the newest notice once it is in force",
        steps: [inForce(3, 10), notice(4, 40), notice(4, 70), inForce(4, 90, "peer")],
        confirmedAtMs: 70,
        newestKnownVersion: 4,
    },
    {
        name: "a version between the known and the announced one is not confirmed",
        steps: [inForce(3, 10), notice(5, 40), inForce(4, 90, "peer")],
        confirmedAtMs: undefined,
        newestKnownVersion: 5,
    },
    {
        name: "an announcement that was not current does not confirm the version when it comes into force",
        steps: [inForce(3, 10), notice(4, 40, { isCurrent: false }), inForce(4, 90, "peer")],
        confirmedAtMs: undefined,
        newestKnownVersion: 4,
    },
];

for (const { name, steps, confirmedAtMs, newestKnownVersion = 3 } of cases) {
    test(`CONFIG: ${name}`, () => {
        const age = makeConfigurationAge();
        steps.forEach(step => step(age));
        assert.is(age.evidence()?.confirmedAtMs, confirmedAtMs);
        assert.is(age.evidence()?.newestKnownVersion, Math.max(newestKnownVersion, age.evidence()!.version));
    });
}

test("CONFIG: nothing is claimed of a configuration that is not there, whatever was stated before it came", () => {
    const age = makeConfigurationAge();
    age.noteStoreAnswer(5);
    age.noteNotice({ configVersion: 2, isCurrent: true, isLeaving: false }, 6);
    assert.is(age.evidence(), undefined);
    age.noteInForce(1, "peer", 10);
    assert.equal(age.evidence(), {
        version: 1,
        origin: "peer",
        inForceSinceMs: 10,
        confirmedAtMs: undefined,
        newestKnownVersion: 2,
    });
});

const ages: readonly { name: string; steps: readonly Step[]; line: string }[] = [
    { name: "without a configuration", steps: [], line: "+Inf" },
    { name: "before the first confirmation", steps: [inForce(3, 10)], line: "+Inf" },
    { name: "after a confirmation", steps: [inForce(3, 10), storeAnswer(500)], line: "2" },
];

for (const { name, steps, line } of ages) {
    test(`CONFIG: the metrics call a configuration fresh that is not: ${name}`, async () => {
        const age = makeConfigurationAge();
        steps.forEach(step => step(age));
        const { configConfirmedAge, registry } = makeGatewayMetrics();
        configConfirmedAge.set(confirmedAgeMs(age.evidence(), 2_500) / 1_000);
        const text = await registry.getSingleMetricAsString("rattanquay_gateway_config_confirmed_age_seconds");
        assert.is(text.split("\n").at(-1), `rattanquay_gateway_config_confirmed_age_seconds ${line}`);
    });
}

test.run();
