/** Prints the response of an entry instance and maps it to an exit code. */
import { exitCodes } from "../exitCodes";
import { type OperatorResponse } from "../operatorClient";
import { print, printError } from "../output";

const unavailableStatus = 503;

/** Prints the response with `render`, or as JSON. Without `json`, an error message goes to standard error. */
export function printResponse(response: OperatorResponse, json: boolean, render: (body: never) => string): number {
    if (response.kind === "unreachable") {
        printError(response.message);
        return exitCodes.unavailable;
    }
    if (json) {
        print(JSON.stringify(response.body));
    }
    if (response.status < 400) {
        if (!json) {
            print(render(response.body as never));
        }
        return exitCodes.ok;
    }
    if (!json) {
        printError(errorMessageOf(response.body));
    }
    return response.status === unavailableStatus ? exitCodes.unavailable : exitCodes.refused;
}

function errorMessageOf(body: unknown): string {
    const errorBody = body as { readonly message?: string; readonly error?: { readonly message?: string } };
    return errorBody.message ?? errorBody.error?.message ?? JSON.stringify(body);
}
