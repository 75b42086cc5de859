import { type PlainService } from "@rattanquay/schema";

/** Methods that HTTP defines as idempotent (RFC 9110, 9.2.2). */
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"]);

/** Whether a call may run more than once: its method is idempotent, or its service declares the call repeatable. */
export function isRepeatable(service: PlainService, method: string, path: string): boolean {
    return idempotentMethods.has(method)
        || service.repeatable.some(declared => declared.method === method && path.startsWith(declared.path));
}
