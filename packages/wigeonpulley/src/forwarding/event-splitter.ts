/** Splits a stream of server-sent events into complete events, so that it can be resumed between two of them. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = "id:";
/** Smallest room for an incomplete event, in bytes, and how it grows. */
const MIN_STORE_BYTES = 1_024;
const GROWTH_FACTOR = 2;

/** One event with its bytes as received. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

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
    /** Holds `incomplete` at its start, with room behind it; undefined while the bytes are part of a received chunk or event. */
    private store: Buffer | undefined;
    /** Start of the first line of `incomplete` that may have no end yet; the lines before it are not read again. */
    private lineStart = 0;

    private constructor() {}

    /** Creates a splitter at the start of a stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that they complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        const bytes = this.append(chunk);
        const events: StreamEvent[] = [];
        let { lineStart } = this;
        let start = 0;
        for (
            let lineEnd = bytes.indexOf(LINE_FEED, lineStart);
            lineEnd !== -1;
            lineEnd = bytes.indexOf(LINE_FEED, lineStart)
        ) {
            if (isBlankLine(bytes, lineStart, lineEnd)) {
                const event = bytes.subarray(start, lineEnd + 1);
                events.push({ bytes: event, id: parseEventId(event) });
                start = lineEnd + 1;
            }
            lineStart = lineEnd + 1;
        }
        if (start > 0) {
            this.store = undefined;
        }
        this.incomplete = bytes.subarray(start);
        this.lineStart = lineStart - start;
        return events;
    }

    /** Memory that is held for an incomplete event, in bytes. */
    get heldBytes(): number {
        return this.store?.length ?? this.incomplete.length;
    }

    /** Adds bytes to the incomplete event. The room doubles, so that an event in short chunks is not copied with each of them. */
    private append(chunk: Buffer): Buffer {
        const { length } = this.incomplete;
        if (length === 0) {
            this.store = undefined;
            return chunk;
        }
        const bytes = length + chunk.length;
        if (this.store === undefined || this.store.length < bytes) {
            this.store = Buffer.allocUnsafe(Math.max(MIN_STORE_BYTES, GROWTH_FACTOR * bytes));
            this.incomplete.copy(this.store);
        }
        chunk.copy(this.store, length);
        return this.store.subarray(0, bytes);
    }

    /** Bytes after the last complete event. */
    get remainder(): Buffer {
        return this.incomplete;
    }
}

const isBlankLine = (bytes: Buffer, start: number, end: number): boolean =>
    end === start || (end === start + 1 && bytes[start] === CARRIAGE_RETURN);
