/**
 * Runs the whole system in one process, kills a group member during a streamed response, repeats a call with the same
 * idempotency key, and prints what happens.
 */
import { countServingReplicas, defaultSpec, startEmbeddedCluster, waitUntil } from "./cluster";
import { expectedText } from "./engine";
import { callChat, callService } from "./load";

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const answerTokens = 120;
const killAtToken = 30;

export async function demo(): Promise<number> {
    printLine(
        "Starting a platform stand-in, 8 engine stand-ins in 2 zones, a booking service and 4 entry instances in this process …",
    );
    const cluster = await startEmbeddedCluster({ ...defaultSpec, replicasPerZone: 2 });
    printLine(
        "Ticket 1 is in force: each zone serves 2 replicas of 'assistant', each a group of 2 instances in one fabric domain.\n",
    );
    const [entry] = cluster.entries;
    const messages = [{
        role: "user",
        content: "The boiler shows fault E7 and the flame goes out. What do I check first?",
    }];
    let killedInstance: string | undefined;
    printLine(
        `Asking for ${answerTokens} tokens, streamed. At token ${killAtToken} one member of the group that serves it is killed:`,
    );
    const result = await callChat({
        port: entry!.callerPort,
        messages,
        maxTokens: answerTokens,
        onToken: index => {
            process.stdout.write(index % 10 === 0 ? `${index} ` : ".");
            if (index === killAtToken) {
                killedInstance = killMember(cluster);
                process.stdout.write(`[killed ${killedInstance}] `);
            }
        },
    });
    const isCorrect = result.whole && result.text === expectedText(messages, answerTokens);
    printLine(
        `\n\nThe response is ${
            isCorrect ? "whole" : "NOT whole"
        }: ${result.tokens} tokens, with its finish reason and end marker.`,
    );
    printLine(
        "The broken group gets no more requests; the stream resumed at the next token on the other replica of the zone.",
    );
    const servingCount = await countServingReplicas(entry!.operatorPort, "assistant");
    printLine(`Serving replicas in this zone now: ${servingCount} of 2.`);
    await waitUntil(
        "the other replica to serve alone",
        5_000,
        async () => await countServingReplicas(entry!.operatorPort, "assistant") === 1,
    );
    printLine(
        "The zone has no other pair of free instances, so the lease holder dissolves the group and its live member stays free.\n",
    );
    const booking = {
        port: entry!.callerPort,
        path: "/services/bookings/visits",
        body: '{"heater":42}',
        idempotencyKey: "visit-42",
    };
    await callService(booking);
    await callService(booking);
    const bookingCount = cluster.services[0]!.bookings().length;
    printLine(
        `A warranty visit was booked twice with the same Idempotency-Key; the service executed it ${
            bookingCount === 1 ? "once" : `${bookingCount} times`
        }.`,
    );
    await cluster.stop();
    printLine("The cluster has stopped.");
    return isCorrect && bookingCount === 1 ? 0 : 1;
}

/** Kills another member of the group whose engine is serving a request; returns the name of its instance. */
function killMember(cluster: Awaited<ReturnType<typeof startEmbeddedCluster>>): string {
    const servingEngine = [...cluster.engines.values()].find(engine =>
        engine.executions().some(execution => !execution.ended)
    );
    const group = servingEngine?.executions().at(-1)?.group;
    const member = [...cluster.engines.values()].find(engine => engine !== servingEngine && engine.group() === group);
    member?.kill();
    return member?.instance ?? "nothing";
}
