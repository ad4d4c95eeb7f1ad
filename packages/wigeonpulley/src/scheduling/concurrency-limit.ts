/** Limits of the requests that one endpoint handles at the same time. */

/** Summary of an endpoint's inter-token latencies over all gateways. */
export interface InterTokenLatencySummary {
    /** Share of inter-token latencies that missed the target, from 0 to 1. */
    readonly slowShare: number;
    /** Slots in use when the summary was made, reserved ones included. */
    readonly used: number;
}

/** Number of requests that an endpoint may handle at the same time. */
export abstract class ConcurrencyLimit {
    /** Current limit in requests; at least 1. */
    abstract getLimit(): number;

    /** Applies a summary of inter-token latencies. */
    abstract observe(summary: InterTokenLatencySummary): void;

    /** Applies a failed request. */
    abstract observeFailure(): void;
}

/** Bounds of an adaptive limit. */
export interface LimitBounds {
    /** Initial limit, in requests. */
    readonly initial: number;
    /** Highest limit, in requests. */
    readonly maximum: number;
}

/** Target of the inter-token latency, in milliseconds; 95 in 100 must meet it. */
export const INTER_TOKEN_TARGET_MS = 69;

/**
 * Share of an endpoint's inter-token latencies that may miss the target. 95 in 100 have to meet it on each stream, and
 * some streams are slower than the endpoint as a whole.
 */
const MAX_SLOW_SHARE = 0.02;

/** Share below which the limit may grow. */
const GROWTH_SLOW_SHARE = 0.005;

/** Growth of the limit with each summary, in requests. */
const GROWTH_STEP = 0.3;
const DECREASE_FACTOR = 0.95;
const FAILURE_FACTOR = 0.5;

/** Additive increase while the target is met at full use, multiplicative decrease when it is missed (AIMD). */
export class AdaptiveLimit extends ConcurrencyLimit {
    private limit: number;

    private constructor(private readonly bounds: LimitBounds) {
        super();
        this.limit = bounds.initial;
    }

    /** Creates a limit at its initial value. */
    static create(bounds: LimitBounds): AdaptiveLimit {
        return new AdaptiveLimit(bounds);
    }

    override getLimit(): number {
        return Math.floor(this.limit);
    }

    override observe(summary: InterTokenLatencySummary): void {
        if (summary.slowShare > MAX_SLOW_SHARE) {
            this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
        }
        else if (summary.slowShare < GROWTH_SLOW_SHARE && summary.used >= this.getLimit()) {
            this.limit = Math.min(
                this.bounds.maximum,
                this.limit + GROWTH_STEP,
            );
        }
    }

    override observeFailure(): void {
        this.limit = Math.max(1, this.limit * FAILURE_FACTOR);
    }
}

/** A limit that stays as declared; used for plain services. */
export class FixedLimit extends ConcurrencyLimit {
    private constructor(private readonly limit: number) {
        super();
    }

    /** Creates a limit of a number of requests. */
    static create(limit: number): FixedLimit {
        return new FixedLimit(limit);
    }

    override getLimit(): number {
        return this.limit;
    }

    override observe(): void {
        // The declared limit does not follow latencies.
    }

    override observeFailure(): void {
        // The declared limit does not follow failures.
    }
}
