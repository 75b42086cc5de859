import { type HandlerContext } from "./callerListener";
import { type Exchange } from "./exchange";

/** Runs `work`, a call to another process, in a client span below the request's span. */
export async function withClientSpan<T>(
    name: string,
    { span: parent }: Exchange,
    { processContext }: HandlerContext,
    work: () => Promise<T>,
): Promise<T> {
    const span = processContext.tracing.startClientSpan(name, parent);
    try {
        return await work();
    }
    finally {
        span.end();
    }
}
