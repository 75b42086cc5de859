/** Splits a stream of server-sent events into complete events without changing their bytes. */

/** One event, including the blank line that terminates it. */
export type RawEvent = { readonly bytes: string; readonly id: number | undefined };

export type EventSplitter = {
    /** Appends the next bytes, decoded as Latin-1 so that no byte is lost, and returns the events completed by them. */
    readonly push: (text: string) => readonly RawEvent[];
    /** Whether bytes of an incomplete event are buffered. */
    readonly hasPartialEvent: () => boolean;
};

const eventEnd = /\r\n\r\n|\n\n|\r\r/;
const idLine = /^id: ?(\d+)[ \t]*$/m;

export function makeEventSplitter(): EventSplitter {
    let buffered = "";
    return {
        push: text => {
            buffered += text;
            const events: RawEvent[] = [];
            for (let end = eventEnd.exec(buffered); end !== null; end = eventEnd.exec(buffered)) {
                const bytes = buffered.slice(0, end.index + end[0].length);
                buffered = buffered.slice(bytes.length);
                const id = idLine.exec(bytes)?.[1];
                events.push({ bytes, id: id === undefined ? undefined : Number(id) });
            }
            return events;
        },
        hasPartialEvent: () => buffered.length > 0,
    };
}
