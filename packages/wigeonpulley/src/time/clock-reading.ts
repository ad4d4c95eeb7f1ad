/** A moment whose age is never underestimated, even when one of the clocks was suspended or set. */
import type { TimerService } from "./timer-service.js";

/** Reading of the monotonic clock and the wall clock at one moment. */
export class ClockReading {
    private constructor(readonly monotonicMs: number, private readonly wallMs: number) {}

    /** Reads both clocks. */
    static create(timers: TimerService): ClockReading {
        return new ClockReading(timers.now(), timers.readWallClock());
    }

    /** Returns the reading that the clocks showed `ms` milliseconds before, if none of them was set since. */
    createEarlier(ms: number): ClockReading {
        return new ClockReading(this.monotonicMs - ms, this.wallMs - ms);
    }

    /**
     * Returns the time since this reading, in milliseconds: the larger advance of the two clocks. Suspending the
     * machine stops the monotonic clock but not the wall clock; the wall clock may be set back.
     */
    computeAgeMs(timers: TimerService): number {
        return Math.max(timers.now() - this.monotonicMs, timers.readWallClock() - this.wallMs);
    }

    /** True when this reading is later on the monotonic clock. */
    isAfter(other: ClockReading): boolean {
        return this.monotonicMs > other.monotonicMs;
    }
}
