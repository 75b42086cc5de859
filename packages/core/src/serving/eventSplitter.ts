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
/** The longest sequence that ends an event. */
const longestEventEnd = 4;
/** Parts are joined beyond this number, so that an event in many small parts takes little more memory than its bytes. */
const maxParts = 1_024;

const eventEnd = /\r\n\r\n|\n\n|\r\r/g;
const idLine = /^id: ?(\d+)[ \t]*$/m;

/** Searches each byte once, in however many parts an event arrives. */
export function makeEventSplitter(): EventSplitter {
    /** The incomplete event, in the order of arrival. */
    let parts: string[] = [];
    let length = 0;
    /** The last characters of the incomplete event, in which the sequence that ends it may have begun. */
    let tail = "";
    const keep = (text: string): void => {
        parts.push(text);
        length += text.length;
        tail = (tail + text).slice(1 - longestEventEnd);
        if (parts.length > maxParts) {
            parts = [parts.join("")];
        }
    };
    const clear = (): void => {
        parts = [];
        length = 0;
        tail = "";
    };
    return {
        push: text => {
            const firstEnd = findEnd(tail + text, 0);
            if (firstEnd === undefined) {
                keep(text);
                return [];
            }
            const buffered = parts.join("") + text;
            const events: RawEvent[] = [];
            let start = 0;
            let end: number | undefined = length - tail.length + firstEnd;
            for (; end !== undefined; end = findEnd(buffered, start)) {
                events.push(toEvent(buffered.slice(start, end)));
                start = end;
            }
            clear();
            if (start < buffered.length) {
                keep(buffered.slice(start));
            }
            return events;
        },
        hasPartialEvent: () => length > 0,
        isTooLarge: () => length > maxEventBytes,
    };
}

/** Returns the position after the first event that ends behind `from`. */
function findEnd(text: string, from: number): number | undefined {
    eventEnd.lastIndex = from;
    const found = eventEnd.exec(text);
    return found === null ? undefined : found.index + found[0].length;
}

function toEvent(bytes: string): RawEvent {
    const id = idLine.exec(bytes)?.[1];
    return { bytes, id: id === undefined ? undefined : Number(id) };
}
