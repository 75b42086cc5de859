/** A link forwards connections, or resets, blocks or refuses them according to its fault. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startService } from "../../service";
import { type LinkFault, startLink } from "../link";

const cases: readonly {
    readonly name: string;
    readonly fault: LinkFault;
    readonly ran: number;
    readonly ok: boolean;
}[] = [
    { name: "forwards a call", fault: { kind: "none" }, ran: 1, ok: true },
    {
        name: "resets a connection within the request",
        fault: { kind: "cutRequest", afterBytes: () => 60 },
        ran: 0,
        ok: false,
    },
    {
        name: "resets a connection within the answer",
        fault: { kind: "cutAnswer", afterBytes: () => 60 },
        ran: 1,
        ok: false,
    },
    { name: "refuses connections", fault: { kind: "refused" }, ran: 0, ok: false },
    { name: "accepts connections and forwards nothing", fault: { kind: "silent" }, ran: 0, ok: false },
];

for (const { name, fault, ran, ok } of cases) {
    test(`a link ${name}`, async () => {
        const service = await startService();
        const link = await startLink(service.port);
        link.setFault(fault);
        const answer = await fetch(`http://127.0.0.1:${link.port}/visits`, {
            method: "POST",
            body: '{"call":"c1"}',
            signal: AbortSignal.timeout(1_000),
        }).then(response => response.text()).catch(() => undefined);
        assert.equal([service.bookings().length, answer !== undefined], [ran, ok]);
        link.stop();
        service.kill();
    });
}

test.run();
