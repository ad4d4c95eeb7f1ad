/** Units used in a sliding window. */
import type { TimerService } from "../time/index.js";

/** Uses nearer to each other than this are kept as one, in milliseconds; a small part of a window. */
const MERGE_MS = 100;

interface Use {
    at: number;
    units: number;
}

/** Sum of what was used in the last `windowMs`. */
export class SlidingWindowCounter {
    private uses: Use[] = [];
    private sum = 0;

    private constructor(private readonly timers: TimerService) {}

    /** Creates a window without use. */
    static create(timers: TimerService): SlidingWindowCounter {
        return new SlidingWindowCounter(timers);
    }

    /** Notes units used now; negative ones take back what was not used after all. */
    add(units: number): void {
        const now = this.timers.now();
        const last = this.uses.at(-1);
        this.sum += units;
        if (last !== undefined && now - last.at < MERGE_MS) {
            last.units += units;
        }
        else {
            this.uses.push({ at: now, units });
        }
    }

    /** Units used since `windowMs` ago, at the most. */
    getTotal(windowMs: number): number {
        const oldest = this.timers.now() - windowMs - MERGE_MS;
        const kept = this.uses.findIndex(({ at }) => at > oldest);
        const expired = this.uses.splice(0, kept === -1 ? this.uses.length : kept);
        this.sum -= expired.reduce((sum, { units }) => sum + units, 0);
        return this.sum;
    }
}
