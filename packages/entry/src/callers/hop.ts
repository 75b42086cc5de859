import { type Reach } from "./callerDoor";
import { type Exchange } from "./exchange";

/** Runs one hop out of this process in a span of its own, below the request's. */
export async function hop<T>(
    name: string,
    { span: parent }: Exchange,
    { surroundings }: Reach,
    work: () => Promise<T>,
): Promise<T> {
    const span = surroundings.tracing.startClient(name, parent);
    try {
        return await work();
    }
    finally {
        span.end();
    }
}
