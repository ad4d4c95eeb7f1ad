/** Time of one VM that can be frozen while the others go on. */
import { type CancelTimer, TimerService } from "wigeonpulley";

/** Timer service whose callbacks wait while it is paused. The clock itself goes on. */
export class PausableTimerService extends TimerService {
    private isPaused = false;
    private pendingCallbacks: (() => void)[] = [];

    private constructor(private readonly inner: TimerService) {
        super();
    }

    /** Creates a running service on top of another one. */
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

    /** Holds every callback back. */
    pause(): void {
        this.isPaused = true;
    }

    /** Runs what was held back, in the order in which it fell due. */
    resume(): void {
        this.isPaused = false;
        this.pendingCallbacks.splice(0).forEach(run => run());
    }
}
