/** Notices when this VM's event loop is late, because times that were measured then say nothing about instances. */
import type { CancelTimer, TimerService } from "../time/index.js";

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Delay of a check above which the event loop was late, in milliseconds; shorter turns hardly change a mean event gap. */
const LATE_MS = 20;

/** Lateness of the event loop. */
export class LoopLateness {
    private checkDueAt: number;
    private lastLateAt = Number.NEGATIVE_INFINITY;
    private cancel: CancelTimer = () => undefined;

    private constructor(private readonly timers: TimerService, private readonly onCheck: () => void) {
        this.checkDueAt = timers.now() + CHECK_INTERVAL_MS;
    }

    /** Creates a check that hasn't started; `onCheck` is called with each check. */
    static create(timers: TimerService, onCheck: () => void): LoopLateness {
        return new LoopLateness(timers, onCheck);
    }

    /** Starts the checks. */
    start(): void {
        this.cancel();
        this.checkDueAt = this.timers.now() + CHECK_INTERVAL_MS;
        this.cancel = this.timers.scheduleRepeating(CHECK_INTERVAL_MS, () => {
            this.checkNow();
            this.checkDueAt = this.timers.now() + CHECK_INTERVAL_MS;
            this.onCheck();
        });
    }

    /** Stops the checks; from then on the event loop counts as late. */
    stop(): void {
        this.cancel();
    }

    /** True when the event loop was late at any time since `time`, a monotonic time in milliseconds. */
    wasLateSince(time: number): boolean {
        this.checkNow();
        return this.lastLateAt >= time;
    }

    private checkNow(): void {
        const now = this.timers.now();
        if (now - this.checkDueAt > LATE_MS) {
            this.lastLateAt = now;
        }
    }
}
