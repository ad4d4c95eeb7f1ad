/** Timers of one VM that tests pause while the other VMs continue. */
import { type CancelTimer, TimerService } from "wigeonpulley";

/** Timer service that holds due callbacks back while it is paused. Its clocks continue. */
export class PausableTimerService extends TimerService {
    private isPaused = false;
    private pendingCallbacks: (() => void)[] = [];

    private constructor(private readonly inner: TimerService) {
        super();
    }

    /** Wraps a timer service; the wrapper isn't paused at first. */
    static create(inner: TimerService): PausableTimerService {
        return new PausableTimerService(inner);
    }

    override now(): number {
        return this.inner.now();
    }

    override readWallClock(): number {
        return this.inner.readWallClock();
    }

    override schedule(delayMs: number, callback: () => void): CancelTimer {
        let isCancelled = false;
        const runOrHold = (): void => {
            if (isCancelled) {
                return;
            }
            if (this.isPaused) {
                this.pendingCallbacks.push(runOrHold);
            }
            else {
                callback();
            }
        };
        const cancel = this.inner.schedule(delayMs, runOrHold);
        return () => {
            isCancelled = true;
            cancel();
        };
    }

    /** Holds callbacks back until `resume`. */
    pause(): void {
        this.isPaused = true;
    }

    /** Runs the callbacks that were held back, in the order in which they became due. */
    resume(): void {
        this.isPaused = false;
        this.pendingCallbacks.splice(0).forEach(run => run());
    }
}
