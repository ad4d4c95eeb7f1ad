/** Splits a stream of server-sent events into complete events, so that it can be resumed between two of them. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = "id:";

/** One event with its bytes as received. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

/** Returns the position after the blank line that ends the event at `from`; -1 while the event is incomplete. */
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

/** Returns the value of the event's id field; undefined without one. */
const parseEventId = (bytes: Buffer): string | undefined => {
    const text = bytes.toString("latin1");
    const start = text.startsWith(ID_FIELD) ? 0 : text.indexOf(`\n${ID_FIELD}`) + 1;
    if (start === 0 && !text.startsWith(ID_FIELD)) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + ID_FIELD.length, end === -1 ? undefined : end).trim();
};

/** Splitter of one stream. */
export class EventSplitter {
    private incomplete: Buffer = Buffer.alloc(0);

    private constructor() {}

    /** Creates a splitter at the start of a stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that they complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        const bytes = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: parseEventId(event) });
            start = end;
        }
        this.incomplete = bytes.subarray(start);
        return events;
    }

    /** Bytes after the last complete event. */
    get remainder(): Buffer {
        return this.incomplete;
    }
}
