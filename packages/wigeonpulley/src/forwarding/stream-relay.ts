/** Passes the events of a stream on, whole and once each, also when the stream goes on at another endpoint. */
import type { TimerService } from "../time/index.js";
import type { ResponseHead } from "./endpoint-transport.js";
import { EventSplitter } from "./event-splitter.js";
import type { ResponseWriter } from "./response-writer.js";

/** Relay of one request's stream. */
export class StreamRelay {
    private splitter = EventSplitter.create();
    private lastId: string | undefined;
    private events = 0;

    private firstPushAt: number | undefined;
    private lastPushAt = 0;
    private longestGap = 0;

    private constructor(private readonly writer: ResponseWriter, private readonly timers: TimerService) {}

    /** Creates a relay that has passed nothing on. */
    static create(writer: ResponseWriter, timers: TimerService): StreamRelay {
        return new StreamRelay(writer, timers);
    }

    /** Monotonic time of the first event, in milliseconds. */
    get firstEventAt(): number | undefined {
        return this.firstPushAt;
    }

    /** Longest time between two writes of events, in milliseconds. */
    get longestGapMs(): number {
        return this.longestGap;
    }

    /** Id of the last event that the caller got from this relay. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Events passed on. */
    get eventCount(): number {
        return this.events;
    }

    /** Begins with the answer of one endpoint; only the first one's head reaches the caller. */
    startResponse(head: ResponseHead): void {
        this.splitter = EventSplitter.create();
        if (!this.writer.hasStarted) {
            this.writer.startStream(head);
        }
    }

    /** Passes on what is complete; resolves when the caller can take more. */
    async push(chunk: Buffer): Promise<void> {
        const fresh = this.splitter.push(chunk).filter(({ id }) => this.isNew(id));
        if (fresh.length === 0) {
            return;
        }
        this.events += fresh.length;
        this.noteTime(this.timers.now());
        this.lastId = fresh.findLast(({ id }) => id !== undefined)?.id ?? this.lastId;
        const [first] = fresh;
        await this.writer.write(
            fresh.length === 1 && first !== undefined
                ? first.bytes
                : Buffer.concat(fresh.map(({ bytes }) => bytes)),
        );
    }

    /** True when the endpoint stopped between two events. */
    get isBetweenEvents(): boolean {
        return this.splitter.remainder.length === 0;
    }

    private noteTime(now: number): void {
        if (this.firstPushAt === undefined) {
            this.firstPushAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastPushAt);
        }
        this.lastPushAt = now;
    }

    /** An endpoint that goes on may repeat events that the caller has. */
    private isNew(id: string | undefined): boolean {
        return id === undefined || this.lastId === undefined || Number(id) > Number(this.lastId);
    }
}
