/** One request with all that was decided about it on arrival. */
import { type ServingRoute, type ServingService } from "@rattanquay/schema";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type CallerRequest } from "../ports";

export type Job = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly caller: CallerRequest;
    readonly route: ServingRoute;
    readonly service: ServingService;
    readonly workspace: string | undefined;
    readonly configVersion: number;
    readonly body: Buffer;
    readonly arrivedAtMs: number;
    /** The instant by which the caller has its final answer. */
    readonly endByMs: number;
    readonly isRepeatable: boolean;
};
