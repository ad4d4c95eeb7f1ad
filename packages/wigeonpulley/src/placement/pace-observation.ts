/**
 * Observes the pace of one request. Observations that say nothing about the instance's concurrency are dropped: of failed
 * requests, of slow-reading callers, of times when this VM's event loop was late, and of streams that were delayed mostly
 * by the prefill of other prompts.
 */
import type { TimerService } from "../time/index.js";

/** Least number of event gaps of a stream, so that one late event doesn't count as a slow stream. */
const MIN_EVENT_GAPS = 6;
/**
 * Variance of the number of requests in flight above which an observation belongs to no level. Observations that mix levels make
 * the pace look the same at all of them.
 */
const MAX_LEVEL_VARIANCE = 1;
/** Share of a stream's time above which prefill explains its pace. */
const MAX_PREFILL_SHARE = 0.5;

/** Load of an instance, as far as known. */
export interface ObservedLoad {
    /** Integral over time of the requests of all VMs in flight, since any time, in milliseconds. */
    readonly inFlightMs: number;
    /** The same of their squares. */
    readonly inFlightSquaredMs: number;
    /** Prompt tokens that this VM has sent there since it started. */
    readonly sentTokens: number;
    /** Prompt tokens of other VMs that await prefill. */
    readonly pendingElsewhere: number;
}

/** Options of an observation. */
export interface PaceObservationOptions {
    readonly timers: TimerService;
    readonly isEngine: boolean;
    readonly readLoad: () => ObservedLoad;
    /** Time that the instance takes to prefill tokens, in milliseconds. */
    readonly estimatePrefillMs: (tokens: number) => number;
    /** True when the event loop was late since a monotonic time. */
    readonly wasLateSince: (time: number) => boolean;
    /** Called at the end with the mean number of requests in flight and the time per event or response. */
    readonly onPace: (level: number, paceMs: number) => void;
    readonly onFinish: () => void;
}

interface Pace {
    readonly level: number;
    readonly paceMs: number;
}

/** One request. */
export class PaceObservation {
    private startedAt: number;
    private startLoad: ObservedLoad;
    private isUsable = true;
    private observedGaps = 0;
    /** Of a plain service, until it is known that the request succeeded. */
    private pace: Pace | undefined;

    private constructor(private readonly options: PaceObservationOptions) {
        this.startedAt = options.timers.now();
        this.startLoad = options.readLoad();
    }

    /** Creates an observation that starts now; the request already counts as in flight. */
    static create(options: PaceObservationOptions): PaceObservation {
        return new PaceObservation(options);
    }

    /** Records the first event of a stream: its time depends on the prompt and is not observed. */
    recordFirstEvent(): void {
        if (this.options.isEngine) {
            this.startPart(0);
        }
    }

    /** Records that `gaps` events followed the first one so far. Each part of a stream between two calls is observed. */
    recordEvents(gaps: number): void {
        if (!this.options.isEngine || gaps - this.observedGaps < MIN_EVENT_GAPS) {
            return;
        }
        this.settle(this.measurePace(gaps - this.observedGaps));
        this.startPart(gaps);
    }

    /** Records that the whole response of a plain service has arrived. */
    recordResponse(): void {
        if (!this.options.isEngine) {
            this.pace = this.measurePace(1);
        }
    }

    /** Records that the caller didn't read as fast as the instance sent. */
    recordCallerWait(): void {
        this.isUsable = false;
    }

    /** Ends the observation. */
    finish(isSuccess: boolean): void {
        this.settle(isSuccess ? this.pace : undefined);
        this.isUsable = false;
        this.options.onFinish();
    }

    private startPart(gaps: number): void {
        this.startedAt = this.options.timers.now();
        this.startLoad = this.options.readLoad();
        this.observedGaps = gaps;
    }

    private settle(pace: Pace | undefined): void {
        if (pace !== undefined && this.isUsable && !this.options.wasLateSince(this.startedAt)) {
            this.options.onPace(pace.level, pace.paceMs);
        }
    }

    private measurePace(units: number): Pace | undefined {
        const { timers, readLoad, estimatePrefillMs } = this.options;
        const load = readLoad();
        const elapsedMs = timers.now() - this.startedAt;
        const prefillMs = estimatePrefillMs(load.sentTokens - this.startLoad.sentTokens);
        const elsewhereMs = estimatePrefillMs(
            Math.max(load.pendingElsewhere, this.startLoad.pendingElsewhere),
        );
        const mean = (load.inFlightMs - this.startLoad.inFlightMs) / elapsedMs;
        const variance = (load.inFlightSquaredMs - this.startLoad.inFlightSquaredMs) / elapsedMs - mean ** 2;
        return elapsedMs <= 0 || variance > MAX_LEVEL_VARIANCE
                || prefillMs + elsewhereMs > elapsedMs * MAX_PREFILL_SHARE
            ? undefined
            : { level: Math.max(1, Math.round(mean)), paceMs: (elapsedMs - prefillMs) / units };
    }
}
