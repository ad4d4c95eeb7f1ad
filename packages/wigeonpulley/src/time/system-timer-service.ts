/** Clocks and timers of Node.js. */
import { performance } from "node:perf_hooks";
import { type CancelTimer, TimerService } from "./timer-service.js";

/** Timer service on the real clocks. */
export class SystemTimerService extends TimerService {
    private constructor() {
        super();
    }

    /** Creates the service. */
    static create(): SystemTimerService {
        return new SystemTimerService();
    }

    override now(): number {
        return performance.now();
    }

    override readWallClock(): number {
        return Date.now();
    }

    override schedule(delayMs: number, callback: () => void): CancelTimer {
        const timer = setTimeout(callback, Math.max(0, delayMs));
        return () => clearTimeout(timer);
    }
}
