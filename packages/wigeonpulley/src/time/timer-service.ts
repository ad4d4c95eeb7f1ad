/** The timer service: the only source of time and the only way to wait. */

/** Ends a subscription; calling it again has no effect. */
export type CancelTimer = () => void;

/** Source of monotonic and wall-clock time. Parts subscribe to it instead of using global timers. */
export abstract class TimerService {
    /** Monotonic time in milliseconds; only differences have a meaning. */
    abstract now(): number;

    /** Wall-clock time in milliseconds since 1970-01-01 UTC. */
    abstract readWallClock(): number;

    /** Calls back once after a delay in milliseconds. */
    abstract schedule(delayMs: number, callback: () => void): CancelTimer;

    /** Calls back every `intervalMs` milliseconds until cancelled. */
    scheduleRepeating(intervalMs: number, callback: () => void): CancelTimer {
        let cancelled = false;
        let cancelNext: CancelTimer = () => undefined;
        const arm = (): void => {
            cancelNext = this.schedule(intervalMs, () => {
                callback();
                if (!cancelled) {
                    arm();
                }
            });
        };
        arm();
        return () => {
            cancelled = true;
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
