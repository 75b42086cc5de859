/** Asking for a replica for a chat completion: how long the work is thought to be, and by when it must have started. */
import { type ChatCall, type ModelService } from "@rattanquay/schema";
import { type Grant } from "../dispatch";
import { type Reach } from "./callerDoor";
import { type Exchange } from "./exchange";

const longFromTokens = 512;
const defaultMaxTokens = 256;

export function admitChat(
    exchange: Exchange,
    workspace: string,
    call: ChatCall,
    service: ModelService,
    id: string,
    tried: ReadonlySet<string>,
    { dispatch }: Reach,
): Promise<Grant> {
    const maxTokens = call.max_completion_tokens ?? call.max_tokens ?? defaultMaxTokens;
    return dispatch.admit({
        id,
        service: exchange.service,
        workspace,
        workClass: maxTokens >= longFromTokens ? "long" : "short",
        priority: service.priority,
        startByMs: exchange.arrivedAtMs + service.target.firstTokenMs,
        avoid: tried,
    });
}
