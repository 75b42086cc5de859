/** A request with the route, service and deadline that were determined on arrival. */
import { type AllowedRegions } from "@rattanquay/core";
import { type HeldRequest, type RequestBody } from "@rattanquay/peer";
import { type ServingRoute, type ServingService } from "@rattanquay/schema";
import { type IncomingMessage } from "node:http";
import { type CallerRequest } from "../ports";
import { type PromptRequest } from "../quarantine";
import { type CallerAnswer, type CallerResponse } from "./callerAnswer";

export type AdmittedRequest = {
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    readonly answer: CallerAnswer;
    readonly caller: CallerRequest;
    readonly route: ServingRoute;
    readonly service: ServingService;
    readonly workspace: string | undefined;
    /** 0 is the most urgent. */
    readonly urgency: number;
    /** The distinct urgencies of the service's requests, the most urgent first. */
    readonly urgencies: readonly number[];
    /** The regions whose upstreams may get it. */
    readonly allowedRegions: AllowedRegions;
    readonly configVersion: number;
    readonly body: RequestBody;
    readonly held: HeldRequest;
    readonly arrivedAtMs: number;
    /** When the caller stops waiting for the answer. */
    readonly endByMs: number;
    readonly isRepeatable: boolean;
};

/** What the quarantine needs to know of a request. */
export function promptRequestOf(
    { caller: { requestId, model, promptSegments }, service, workspace }: AdmittedRequest,
): PromptRequest {
    return { requestId, service: service.service, model, workspace, promptSegments };
}
