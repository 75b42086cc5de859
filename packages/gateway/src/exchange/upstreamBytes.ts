/** Bounds the bytes of request bodies that this process has at one upstream at once: upstreams have limited memory, too. */

export type UpstreamBytes = {
    /** Whether a body may be sent there now. A body that is alone there always may. */
    readonly hasRoom: (upstream: string, bytes: number) => boolean;
    /** Counts a body until the returned function is called, which has no effect when called again. */
    readonly add: (upstream: string, bytes: number) => () => void;
};

export function makeUpstreamBytes(maxBytes: number): UpstreamBytes {
    const atUpstream = new Map<string, number>();
    const change = (upstream: string, bytes: number): void => {
        const sum = (atUpstream.get(upstream) ?? 0) + bytes;
        if (sum > 0) {
            atUpstream.set(upstream, sum);
            return;
        }
        atUpstream.delete(upstream);
    };
    return {
        hasRoom: (upstream, bytes) => {
            const present = atUpstream.get(upstream);
            return present === undefined || present + bytes <= maxBytes;
        },
        add: (upstream, bytes) => {
            let isCounted = true;
            change(upstream, bytes);
            return () => {
                if (isCounted) {
                    isCounted = false;
                    change(upstream, -bytes);
                }
            };
        },
    };
}
