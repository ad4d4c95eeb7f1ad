/** Splits an event stream into whole events, so that an answer can go on elsewhere between two of them. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = "id:";

/** One event with its bytes as they came. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

/** End of the first event in the bytes: the position after its blank line; -1 while it is not complete. */
const findEventEnd = (bytes: Buffer, from: number): number => {
    let lineStart = from;
    for (;;) {
        const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
        if (lineEnd === -1) {
            return -1;
        }
        const isBlank = lineEnd === lineStart
            || (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
        if (isBlank) {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
};

/** The value of the event's id field. */
const readEventId = (bytes: Buffer): string | undefined => {
    const text = bytes.toString("latin1");
    const start = text.startsWith(ID_FIELD) ? 0 : text.indexOf(`\n${ID_FIELD}`) + 1;
    if (start === 0 && !text.startsWith(ID_FIELD)) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + ID_FIELD.length, end === -1 ? undefined : end).trim();
};

/** Collects bytes of one stream. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    private constructor() {}

    /** Creates a splitter at the beginning of a stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that are complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: readEventId(event) });
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }

    /** Bytes after the last complete event. */
    get remainder(): Buffer {
        return this.rest;
    }
}
