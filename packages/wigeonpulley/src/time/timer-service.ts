/** Interface of clocks and timers. All code takes time from it and waits with it, so that tests can control time. */

/** Cancels a timer; calling it again has no effect. */
export type CancelTimer = () => void;

/** Clocks and timers. Used instead of the global functions of Node.js. */
export abstract class TimerService {
    /** Returns monotonic time in milliseconds; only differences are meaningful. */
    abstract now(): number;

    /** Returns wall-clock time in milliseconds since 1970-01-01 UTC. */
    abstract readWallClock(): number;

    /** Calls `callback` once after a delay in milliseconds. */
    abstract schedule(delayMs: number, callback: () => void): CancelTimer;

    /** Calls `callback` repeatedly until cancelled, each time `intervalMs` milliseconds after the previous call. */
    scheduleRepeating(intervalMs: number, callback: () => void): CancelTimer {
        let isCancelled = false;
        let cancelNext: CancelTimer = () => undefined;
        const scheduleNext = (): void => {
            cancelNext = this.schedule(intervalMs, () => {
                callback();
                if (!isCancelled) {
                    scheduleNext();
                }
            });
        };
        scheduleNext();
        return () => {
            isCancelled = true;
            cancelNext();
        };
    }

    /** Resolves after a delay in milliseconds, or at once when the signal aborts. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = (): void => {
                cancel();
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const cancel = this.schedule(delayMs, finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}
