/** Limits of the requests that one endpoint handles at the same time. */

/** One reading of how fast an endpoint's streams advance. */
export interface PaceReading {
    /** 95th percentile of the time between tokens, in milliseconds. */
    readonly interTokenMs: number;
    /** Requests that were running when the reading was taken. */
    readonly running: number;
}

/** Number of requests that an endpoint may handle at the same time. */
export abstract class ConcurrencyLimit {
    /** The limit at this moment, in requests; at least 1. */
    abstract readLimit(): number;

    /** Takes a reading into account. */
    abstract observe(reading: PaceReading): void;

    /** Takes a failed request into account. */
    abstract observeFailure(): void;
}

/** Bounds of an adaptive limit. */
export interface LimitBounds {
    /** Limit to begin with, in requests. */
    readonly initial: number;
    /** Highest limit, in requests. */
    readonly maximum: number;
}

/** Time between tokens that 95 in 100 must keep, in milliseconds. */
export const INTER_TOKEN_TARGET_MS = 69;

/** Below this share of the target the limit may grow. */
const GROWTH_SHARE = 0.9;
const DECREASE_FACTOR = 0.85;
const FAILURE_FACTOR = 0.5;

/** Grows by one while the target is met at full use, shrinks by a factor when it is missed. */
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

    override readLimit(): number {
        return Math.floor(this.limit);
    }

    override observe(reading: PaceReading): void {
        if (reading.interTokenMs > INTER_TOKEN_TARGET_MS) {
            this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
            return;
        }
        const isFullyUsed = reading.running >= this.readLimit();
        if (isFullyUsed && reading.interTokenMs < GROWTH_SHARE * INTER_TOKEN_TARGET_MS) {
            this.limit = Math.min(this.bounds.maximum, this.limit + 1);
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

    override readLimit(): number {
        return this.limit;
    }

    override observe(): void {
        // The declared limit does not follow the pace.
    }

    override observeFailure(): void {
        // The declared limit does not follow failures.
    }
}
