/** Cuts a stream of server-sent events into whole events without changing their bytes. */

/** One event with the blank line that ends it. */
export type RawEvent = { readonly bytes: string; readonly id: number | undefined };

export type EventSplitter = {
    /** Takes the next bytes, as Latin-1 text so that no byte is lost, and returns the events that are whole now. */
    readonly push: (text: string) => readonly RawEvent[];
    /** Whether bytes of an unfinished event are held. */
    readonly hasRest: () => boolean;
};

const eventEnd = /\r\n\r\n|\n\n|\r\r/;
const idLine = /^id: ?(\d+)[ \t]*$/m;

export function makeEventSplitter(): EventSplitter {
    let rest = "";
    return {
        push: text => {
            rest += text;
            const events: RawEvent[] = [];
            for (let end = eventEnd.exec(rest); end !== null; end = eventEnd.exec(rest)) {
                const bytes = rest.slice(0, end.index + end[0].length);
                rest = rest.slice(bytes.length);
                const id = idLine.exec(bytes)?.[1];
                events.push({ bytes, id: id === undefined ? undefined : Number(id) });
            }
            return events;
        },
        hasRest: () => rest.length > 0,
    };
}
