/** The whole path in one process: a streamed answer, a member that dies under it, and what happened in words. */
import { defaultSpec, servingReplicas, startEmbeddedCluster, until } from "./cluster";
import { expectedText } from "./engine";
import { callChat, callService } from "./load";

const say = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const answerTokens = 120;
const killAtToken = 30;

export async function demo(): Promise<number> {
    say("Starting a platform stand-in, 8 engine stand-ins in 2 zones, a booking service and 4 entry instances in this process …");
    const cluster = await startEmbeddedCluster({ ...defaultSpec, replicasPerZone: 2 });
    say("Ticket 1 is in force: each zone serves 2 replicas of 'assistant', each a group of 2 instances in one fabric domain.\n");
    const [entry] = cluster.entries;
    const messages = [{
        role: "user",
        content: "The boiler shows fault E7 and the flame goes out. What do I check first?",
    }];
    let killed: string | undefined;
    say(`Asking for ${answerTokens} tokens, streamed. At token ${killAtToken} one member of the group that serves it is killed:`);
    const result = await callChat({
        port: entry!.callerPort,
        messages,
        maxTokens: answerTokens,
        onToken: index => {
            process.stdout.write(index % 10 === 0 ? `${index} ` : ".");
            if (index === killAtToken) {
                killed = killMember(cluster);
                process.stdout.write(`[killed ${killed}] `);
            }
        },
    });
    const correct = result.whole && result.text === expectedText(messages, answerTokens);
    say(`\n\nThe answer is ${
        correct ? "whole" : "NOT whole"
    }: ${result.tokens} tokens, with its finish reason and end marker.`);
    say("The broken group got no more work; the stream went on at the next token on the other replica of the zone.");
    const left = await servingReplicas(entry!.operatorPort, "assistant");
    say(`Serving replicas in this zone now: ${left} of 2.`);
    await until(
        "the other replica to serve alone",
        5_000,
        async () => await servingReplicas(entry!.operatorPort, "assistant") === 1,
    );
    say("The zone has no second pair of free instances, so the lease holder leaves the group broken up and its live member free.\n");
    const booking = {
        port: entry!.callerPort,
        path: "/services/bookings/visits",
        body: '{"heater":42}',
        idempotencyKey: "visit-42",
    };
    await callService(booking);
    await callService(booking);
    const booked = cluster.services[0]!.bookings().length;
    say(`A warranty visit was booked twice with the same Idempotency-Key; the service ran it ${
        booked === 1 ? "once" : `${booked} times`
    }.`);
    await cluster.stop();
    say("Everything was stopped.");
    return correct && booked === 1 ? 0 : 1;
}

/** Kills the second member of the group that runs something now. */
function killMember(cluster: Awaited<ReturnType<typeof startEmbeddedCluster>>): string {
    const serving = [...cluster.engines.values()].find(engine =>
        engine.executions().some(execution => !execution.ended)
    );
    const group = serving?.executions().at(-1)?.group;
    const member = [...cluster.engines.values()].find(engine => engine !== serving && engine.group() === group);
    member?.kill();
    return member?.instance ?? "nothing";
}
