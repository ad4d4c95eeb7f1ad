/** Relays the events of a stream to the caller, complete and once each, also when another endpoint resumes the stream. */
import type { TimerService } from "../time/index.js";
import type { ResponseHead } from "./endpoint-transport.js";
import { EventSplitter } from "./event-splitter.js";
import type { ResponseWriter } from "./response-writer.js";

/** Longest event; one that is longer has no end. */
const MAX_EVENT_BYTES = 1_048_576;

/** Relay of one request's stream. */
export class StreamRelay {
    private splitter = EventSplitter.create();
    private lastId: string | undefined;
    private events = 0;
    private isStarted = false;

    private firstSentAt: number | undefined;
    private lastSentAt = 0;
    private longestEventGapMs = 0;

    private constructor(private readonly writer: ResponseWriter, private readonly timers: TimerService) {}

    /** Creates a relay that has sent nothing. */
    static create(writer: ResponseWriter, timers: TimerService): StreamRelay {
        return new StreamRelay(writer, timers);
    }

    /** True once the response to the caller is a stream, which another endpoint may resume. */
    get hasStarted(): boolean {
        return this.isStarted;
    }

    /** Monotonic time of the first event, in milliseconds; undefined before it. */
    get firstEventAt(): number | undefined {
        return this.firstSentAt;
    }

    /** Longest event gap, measured between two writes to the caller, in milliseconds. */
    get longestGapMs(): number {
        return this.longestEventGapMs;
    }

    /** Id of the last event that this relay sent to the caller. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Number of events sent to the caller. */
    get eventCount(): number {
        return this.events;
    }

    /** Starts relaying the response of an endpoint; only the head of the first response is sent to the caller. */
    startResponse(head: ResponseHead): void {
        this.splitter = EventSplitter.create();
        this.isStarted = true;
        if (!this.writer.hasStarted) {
            this.writer.startStream(head);
        }
    }

    /** Sends the events that are complete and new; resolves when the caller can take more. */
    async push(chunk: Buffer): Promise<void> {
        const newEvents = this.splitter.push(chunk).filter(({ id }) => this.isNew(id));
        if (newEvents.length === 0) {
            return;
        }
        this.events += newEvents.length;
        this.recordEventTime(this.timers.now());
        this.lastId = newEvents.findLast(({ id }) => id !== undefined)?.id ?? this.lastId;
        const [first] = newEvents;
        await this.writer.write(
            newEvents.length === 1 && first !== undefined
                ? first.bytes
                : Buffer.concat(newEvents.map(({ bytes }) => bytes)),
        );
    }

    /** Bytes that are held of an event without its end. */
    get incompleteBytes(): number {
        return this.splitter.heldBytes;
    }

    /** True when an event is so long that no end of it is to be expected. */
    get isEventTooLong(): boolean {
        return this.splitter.remainder.length > MAX_EVENT_BYTES;
    }

    /** True when no incomplete event is buffered. */
    get isBetweenEvents(): boolean {
        return this.splitter.remainder.length === 0;
    }

    private recordEventTime(now: number): void {
        if (this.firstSentAt === undefined) {
            this.firstSentAt = now;
        }
        else {
            this.longestEventGapMs = Math.max(this.longestEventGapMs, now - this.lastSentAt);
        }
        this.lastSentAt = now;
    }

    /** An endpoint that resumes a stream may repeat events that the caller already has. */
    private isNew(id: string | undefined): boolean {
        if (id === undefined || this.lastId === undefined) {
            return true;
        }
        const difference = Number(id) - Number(this.lastId);
        // Identifiers that are not numbers have no order: only a repetition of the last one is recognised.
        return Number.isNaN(difference) ? id !== this.lastId : difference > 0;
    }
}
