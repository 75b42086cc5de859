/** Splits a stream of server-sent events into complete events without changing their bytes. */

/** One event, including the blank line that terminates it. */
export type RawEvent = { readonly bytes: string; readonly id: number | undefined };

export type EventSplitter = {
    /** Appends the next bytes, decoded as Latin-1 so that no byte is lost, and returns the events completed by them. */
    readonly push: (text: string) => readonly RawEvent[];
    /** Whether bytes of an incomplete event are buffered. */
    readonly hasPartialEvent: () => boolean;
    /** Whether the incomplete event exceeds the limit: it is none, and no further bytes should be pushed. */
    readonly isTooLarge: () => boolean;
};

/** Far more than an event of generated text needs; bounds the memory for bytes that never end an event. */
const maxEventBytes = 262_144;
/** The longest sequence that ends an event. Bytes before it are not searched again. */
const longestEventEnd = 4;

const eventEnd = /\r\n\r\n|\n\n|\r\r/g;
const idLine = /^id: ?(\d+)[ \t]*$/m;

export function makeEventSplitter(): EventSplitter {
    let buffered = "";
    let searchedTo = 0;
    const nextEnd = (): number | undefined => {
        eventEnd.lastIndex = Math.max(0, searchedTo - longestEventEnd + 1);
        const found = eventEnd.exec(buffered);
        return found === null ? undefined : found.index + found[0].length;
    };
    return {
        push: text => {
            buffered += text;
            const events: RawEvent[] = [];
            for (let end = nextEnd(); end !== undefined; end = nextEnd()) {
                const bytes = buffered.slice(0, end);
                buffered = buffered.slice(end);
                searchedTo = 0;
                const id = idLine.exec(bytes)?.[1];
                events.push({ bytes, id: id === undefined ? undefined : Number(id) });
            }
            searchedTo = buffered.length;
            return events;
        },
        hasPartialEvent: () => buffered.length > 0,
        isTooLarge: () => buffered.length > maxEventBytes,
    };
}
