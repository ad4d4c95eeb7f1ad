/** Deadline and cancellation of one request. Everything that works on the request is notified once. */
import type { CancelTimer, TimerService } from "../time/index.js";

/** Why a request is cancelled. */
export type CancelReason = "caller-gone" | "timeout" | "shutdown";

/** Lifetime of one request. */
export class RequestLifetime {
    private reason: CancelReason | undefined;
    private readonly listeners = new Set<(reason: CancelReason) => void>();
    private readonly cancelTimer: CancelTimer;

    private constructor(private readonly timers: TimerService, readonly deadlineAt: number) {
        this.cancelTimer = timers.schedule(deadlineAt - timers.now(), () => this.cancel("timeout"));
    }

    /** Creates the lifetime of a request; `deadlineAt` is a monotonic time in milliseconds. */
    static create(timers: TimerService, deadlineAt: number): RequestLifetime {
        return new RequestLifetime(timers, deadlineAt);
    }

    /** Why the request was cancelled; undefined if it was not. */
    get cancelReason(): CancelReason | undefined {
        return this.reason;
    }

    /** Time to the deadline, in milliseconds; never negative. */
    get remainingMs(): number {
        return Math.max(0, this.deadlineAt - this.timers.now());
    }

    /** Cancels the request; only the first reason counts. */
    cancel(reason: CancelReason): void {
        if (this.reason === undefined) {
            this.reason = reason;
            this.cancelTimer();
            this.listeners.forEach(listener => listener(reason));
            this.listeners.clear();
        }
    }

    /** Stops the timer and removes the listeners once the response is complete. */
    close(): void {
        this.cancelTimer();
        this.listeners.clear();
    }

    /** Calls back on cancellation, immediately if it has happened; returns a function that unsubscribes. */
    subscribe(listener: (reason: CancelReason) => void): () => void {
        if (this.reason !== undefined) {
            listener(this.reason);
            return () => undefined;
        }
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
