/** Counts units in a sliding window. */
import type { TimerService } from "../time/index.js";

/** Units recorded within this interval are merged into one entry; a small part of a window. */
const MERGE_INTERVAL_MS = 100;

interface Entry {
    at: number;
    units: number;
}

/** Sum of the units of the last `windowMs` milliseconds. */
export class SlidingWindowCounter {
    private entries: Entry[] = [];
    private sum = 0;

    private constructor(private readonly timers: TimerService) {}

    /** Creates an empty counter. */
    static create(timers: TimerService): SlidingWindowCounter {
        return new SlidingWindowCounter(timers);
    }

    /** Records units used now; a negative number refunds units. */
    add(units: number): void {
        const now = this.timers.now();
        const last = this.entries.at(-1);
        this.sum += units;
        if (last !== undefined && now - last.at < MERGE_INTERVAL_MS) {
            last.units += units;
        }
        else {
            this.entries.push({ at: now, units });
        }
    }

    /**
     * Returns the units recorded in the last `windowMs` milliseconds. Entries stay up to the merge interval longer, so
     * the total is never too low.
     */
    getTotal(windowMs: number): number {
        const expiredBefore = this.timers.now() - windowMs - MERGE_INTERVAL_MS;
        const firstKept = this.entries.findIndex(({ at }) => at > expiredBefore);
        const expired = this.entries.splice(0, firstKept === -1 ? this.entries.length : firstKept);
        this.sum -= expired.reduce((sum, { units }) => sum + units, 0);
        return this.sum;
    }
}
