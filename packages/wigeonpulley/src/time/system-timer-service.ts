/** Clocks and timers of Node.js. */
import { performance } from "node:perf_hooks";
import { type CancelTimer, TimerService } from "./timer-service.js";

/** Delay of a timer above which the event loop was late and may have left input unread, in milliseconds. */
const LATE_TIMER_MS = 50;

/**
 * Timer service on the real clocks. Node.js runs timers that are due before it reads, so after a long turn of the event loop a
 * timeout would end what has its bytes waiting. A late timer therefore runs after the input that has arrived, which may
 * cancel it.
 */
export class SystemTimerService extends TimerService {
    /** Number of timers that wait for input: late ones, and those that come due after them meanwhile. */
    private waiting = 0;
    private onTimerRun: (delayMs: number) => void = () => undefined;

    private constructor() {
        super();
    }

    /** Creates the service. */
    static create(): SystemTimerService {
        return new SystemTimerService();
    }

    /** Calls back with the time in milliseconds by which each timer that runs is late. */
    observeDelays(listener: (delayMs: number) => void): void {
        this.onTimerRun = listener;
    }

    override now(): number {
        return performance.now();
    }

    override readWallClock(): number {
        return Date.now();
    }

    override schedule(delayMs: number, callback: () => void): CancelTimer {
        const dueAt = this.now() + delayMs;
        let isCancelled = false;
        const runUnlessCancelled = (): void => {
            this.waiting -= 1;
            if (!isCancelled) {
                callback();
            }
        };
        const timer = setTimeout(() => {
            const delayMs = this.now() - dueAt;
            this.onTimerRun(delayMs);
            if (this.waiting === 0 && delayMs <= LATE_TIMER_MS) {
                callback();
                return;
            }
            this.waiting += 1;
            // One poll finds connections that were opened, the next one what has arrived on them.
            setImmediate(() => setImmediate(runUnlessCancelled));
        }, Math.max(0, delayMs));
        return () => {
            isCancelled = true;
            clearTimeout(timer);
        };
    }
}
