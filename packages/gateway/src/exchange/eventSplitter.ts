/** Cuts a stream of server-sent events into whole events without changing their bytes; what is in them a library reads. */
import { createParser } from "eventsource-parser";

/** One event with the blank line that ends it. */
export type RawEvent = { readonly bytes: string; readonly id: number | undefined };

export type EventSplitter = {
    /** Takes the next bytes, as Latin-1 text so that no byte is lost, and returns the events that are whole now. */
    readonly push: (text: string) => readonly RawEvent[];
    /** Whether bytes of an unfinished event are held. */
    readonly hasRest: () => boolean;
};

const eventEnd = /\r\n\r\n|\n\n|\r\r/;
const wholeNumber = /^\d+$/;

export function makeEventSplitter(): EventSplitter {
    let rest = "";
    let id: string | undefined;
    const parser = createParser({ onEvent: event => id = event.id });
    const readId = (bytes: string): number | undefined => {
        id = undefined;
        // The parser waits for what follows a carriage return; here the event is known to be whole.
        parser.feed(bytes.replace(/\r\n?/g, "\n"));
        return id !== undefined && wholeNumber.test(id) ? Number(id) : undefined;
    };
    return {
        push: text => {
            rest += text;
            const events: RawEvent[] = [];
            for (let end = eventEnd.exec(rest); end !== null; end = eventEnd.exec(rest)) {
                const bytes = rest.slice(0, end.index + end[0].length);
                rest = rest.slice(bytes.length);
                events.push({ bytes, id: readId(bytes) });
            }
            return events;
        },
        hasRest: () => rest.length > 0,
    };
}
