/** Printing an entry instance's answer, and turning it into an exit code. */
import { exitCodes } from "../exitCodes";
import { type OperatorAnswer } from "../operatorClient";
import { complain, print } from "../output";

const unavailableStatus = 503;

/** Prints the answer with `render`, or as JSON; a refusal goes to standard error. */
export function report(answer: OperatorAnswer, json: boolean, render: (body: never) => string): number {
    if (answer.kind === "unreachable") {
        complain(answer.message);
        return exitCodes.unavailable;
    }
    if (json) {
        print(JSON.stringify(answer.body));
    }
    if (answer.status < 400) {
        if (!json) {
            print(render(answer.body as never));
        }
        return exitCodes.ok;
    }
    if (!json) {
        complain(messageOf(answer.body));
    }
    return answer.status === unavailableStatus ? exitCodes.unavailable : exitCodes.refused;
}

function messageOf(body: unknown): string {
    const known = body as { readonly message?: string; readonly error?: { readonly message?: string } };
    return known.message ?? known.error?.message ?? JSON.stringify(body);
}
