/** Relays one streamed engine response to its caller and measures it. */
import { Err, Ok, type Result } from "ts-results-es";
import { MessageQueue } from "../concurrency/index.js";
import { END_OF_STREAM, type EngineEvent } from "../endpoints/index.js";
import type { SchedulerError } from "../errors/index.js";
import { Outcome } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { MetricsRegistry } from "../metrics/index.js";
import type { Slot, TicketClient } from "../scheduling/index.js";
import type { TimerService } from "../time/index.js";
import type { InterTokenLatencyRecorder } from "./inter-token-latency-recorder.js";
import { NEVER_RAN, type ResponseReader } from "./response-reader.js";

/** Dependencies of a response, and data of the request that it belongs to. */
export interface EngineResponseOptions {
    readonly reader: ResponseReader;
    readonly slot: Slot;
    readonly tier: string;
    /** Monotonic times in milliseconds. */
    readonly receivedAt: number;
    readonly dispatchedAt: number;
    readonly tickets: TicketClient;
    readonly latencyRecorder: InterTokenLatencyRecorder;
    readonly metrics: MetricsRegistry;
    readonly timers: TimerService;
    /** Called once when the response has ended. */
    readonly onEnd: () => void;
}

/** An event, or the error that ends the response. */
export type ResponseItem = Result<EngineEvent, SchedulerError>;

/**
 * One response. It is read to the end in the background even when the caller has disconnected, so that the slot is
 * held as long as the engine works and the caller can resume through another VM.
 */
export class EngineResponse {
    private readonly items = MessageQueue.create<ResponseItem>();
    private tokens = 0;
    private firstTokenAt: number | undefined;
    private previousTokenAt: number | undefined;

    private constructor(private readonly options: EngineResponseOptions) {}

    /** Creates a response from its first event and starts reading the rest in the background. */
    static create(options: EngineResponseOptions, first: EngineEvent): EngineResponse {
        const response = new EngineResponse(options);
        response.pushEvent(first);
        void response.run();
        return response;
    }

    /** The events in order, each exactly once; an error comes last. */
    get events(): AsyncIterable<ResponseItem> {
        return this.items;
    }

    private async run(): Promise<void> {
        for (;;) {
            const item = await this.options.reader.read();
            if (item.isErr()) {
                this.finish(item.error);
                return;
            }
            if (item.value === undefined || item.value === NEVER_RAN) {
                this.finish(undefined);
                return;
            }
            this.pushEvent(item.value);
        }
    }

    private pushEvent(event: EngineEvent): void {
        this.items.push(Ok(event));
        if (event.data === END_OF_STREAM) {
            return;
        }
        const { timers, slot, latencyRecorder, metrics, tier, receivedAt } = this.options;
        const now = timers.now();
        if (this.previousTokenAt === undefined) {
            metrics.recordPhase(tier, "first-token", now - receivedAt);
        }
        else {
            latencyRecorder.record(slot.endpoint, slot.group, now - this.previousTokenAt);
            metrics.recordPhase(tier, "inter-token", now - this.previousTokenAt);
        }
        this.firstTokenAt ??= now;
        this.previousTokenAt = now;
        this.tokens += 1;
    }

    private finish(error: SchedulerError | undefined): void {
        const { reader, tickets, slot, timers, dispatchedAt, receivedAt, metrics, tier, onEnd } =
            this.options;
        reader.close();
        const now = timers.now();
        tickets.release(slot, {
            outcome: error === undefined ? Outcome.COMPLETED : Outcome.FAILED,
            firstTokenMs: Math.round((this.firstTokenAt ?? now) - dispatchedAt),
            tokens: this.tokens,
            durationMs: Math.round(now - dispatchedAt),
        });
        metrics.recordPhase(tier, "total", now - receivedAt);
        metrics.recordRequest(tier, error?.name ?? "completed");
        if (error !== undefined) {
            this.items.push(Err(error));
        }
        this.items.close();
        onEnd();
    }
}
