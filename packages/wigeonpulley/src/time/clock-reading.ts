/** A moment whose age is never underestimated, whichever of the clocks stood still or was set. */
import type { TimerService } from "./timer-service.js";

/** A moment on both clocks. */
export class ClockReading {
    private constructor(readonly monotonicMs: number, private readonly wallMs: number) {}

    /** The present moment. */
    static create(timers: TimerService): ClockReading {
        return new ClockReading(timers.now(), timers.readWallClock());
    }

    /**
     * Time since the moment, in milliseconds: the larger advance of the two clocks. A suspended machine stops the
     * monotonic clock but not the time of day; the time of day may be set back.
     */
    computeAgeMs(timers: TimerService): number {
        return Math.max(timers.now() - this.monotonicMs, timers.readWallClock() - this.wallMs);
    }

    /** True when this moment is later on the monotonic clock. */
    isAfter(other: ClockReading): boolean {
        return this.monotonicMs > other.monotonicMs;
    }
}
