/**
 * Refuses requests that come too late to be on time because this VM lacks processor time, before it spends more on them. The
 * worst priority rank is refused first, a better one only while the event loop stays late all the same; the best rank in use
 * is always served.
 */
import { SchedulerError } from "../errors/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";

/** Dependencies. */
export interface LateAdmissionOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly processor: DelaySource;
}

/** Knows how late the event loop is. */
export interface DelaySource {
    /** Delay of what becomes due in the event loop, in milliseconds. */
    readonly getDelayMs: () => number;
}

/** A request that has been read. */
export interface ArrivedRequest {
    /** 0 is the most important. */
    readonly rank: number;
    readonly targetLatencyMs: number;
    /** Time since it reached this VM, in milliseconds. */
    readonly ageMs: number;
    /** Time for which requests like this one wait for a slot, in milliseconds. */
    readonly queueMs: number;
}

/**
 * Shares of a request's target latency that the event loop takes on the way to the endpoint, above which the next better rank is refused
 * too, and below which it is served again.
 */
const LATE_SHARE = 0.5;
const IN_TIME_SHARE = 0.15;
/** Least time between two such steps, in milliseconds. */
const STEP_MS = 250;
/** Turns of the event loop until a request reaches its endpoint: its body, the next poll, the connection. */
const TURNS_TO_ENDPOINT = 3;
/** Share of the target latency within which a request of a refused rank has to reach its endpoint. */
const START_SHARE = 0.4;
/** Time after which a rank without requests counts no more, in milliseconds. */
const RANK_LIFETIME_MS = 10_000;
/** Multiple of the delay after which a refused caller should retry, and its bounds in milliseconds. */
const RETRY_FACTOR = 4;
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 2_000;
/** Random part of the time to a retry, which spreads callers that are refused together. */
const RETRY_SPREAD = 0.5;

/** Admission of one VM. */
export class LateAdmission {
    /** Monotonic time of the newest request of each rank, in milliseconds. */
    private readonly seenAt = new Map<number, number>();
    /** Ranks that are refused: so many of the worst. */
    private refusedRanks = 0;
    private steppedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly options: LateAdmissionOptions) {}

    /** Creates an admission that refuses nothing yet. */
    static create(options: LateAdmissionOptions): LateAdmission {
        return new LateAdmission(options);
    }

    /** Returns why the request is refused; undefined when it is to be served. */
    check({ rank, targetLatencyMs, ageMs, queueMs }: ArrivedRequest): SchedulerError | undefined {
        const delayMs = this.options.processor.getDelayMs();
        this.seenAt.set(rank, this.options.timers.now());
        const turnsMs = TURNS_TO_ENDPOINT * delayMs;
        this.adjust(turnsMs / targetLatencyMs);
        if (ageMs + turnsMs + queueMs <= targetLatencyMs * START_SHARE || !this.isRefused(rank)) {
            return undefined;
        }
        return SchedulerError.create("ProcessorOverloaded", { delayMs: Math.round(delayMs) }, {
            retryAfterMs: this.computeRetryMs(delayMs),
        });
    }

    private isRefused(rank: number): boolean {
        return this.refusedRanks > 0 && this.listRanks().slice(-this.refusedRanks).includes(rank);
    }

    /** Ranks in use, the best first. */
    private listRanks(): readonly number[] {
        const since = this.options.timers.now() - RANK_LIFETIME_MS;
        this.seenAt.forEach((at, rank) => at < since && this.seenAt.delete(rank));
        return [...this.seenAt.keys()].sort((left, right) => left - right);
    }

    private adjust(targetShare: number): void {
        const now = this.options.timers.now();
        const change = targetShare > LATE_SHARE ? 1 : targetShare < IN_TIME_SHARE ? -1 : 0;
        if (change === 0 || now - this.steppedAt < STEP_MS) {
            return;
        }
        this.steppedAt = now;
        const limit = Math.max(0, this.listRanks().length - 1);
        this.refusedRanks = Math.min(limit, Math.max(0, this.refusedRanks + change));
    }

    private computeRetryMs(delayMs: number): number {
        const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs * RETRY_FACTOR));
        return retryMs * (1 + RETRY_SPREAD * this.options.random.pickFraction());
    }
}
