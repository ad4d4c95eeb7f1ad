/** Why a request has to end before its answer is complete, told once to everything that works on it. */
import type { CancelTimer, TimerService } from "../time/index.js";

/** Why it ends. */
export type CancelReason = "caller-gone" | "timeout" | "shutdown";

/** Lifetime of one request. */
export class RequestLifetime {
    private reason: CancelReason | undefined;
    private readonly listeners = new Set<(reason: CancelReason) => void>();
    private readonly cancelTimer: CancelTimer;

    private constructor(private readonly timers: TimerService, readonly deadlineAt: number) {
        this.cancelTimer = timers.schedule(deadlineAt - timers.now(), () => this.cancel("timeout"));
    }

    /** Creates a lifetime that ends at a monotonic time in milliseconds at the latest. */
    static create(timers: TimerService, endsAt: number): RequestLifetime {
        return new RequestLifetime(timers, endsAt);
    }

    /** Why the request ended; undefined while it goes on. */
    get cancelReason(): CancelReason | undefined {
        return this.reason;
    }

    /** Time left, in milliseconds. */
    get remainingMs(): number {
        return Math.max(0, this.deadlineAt - this.timers.now());
    }

    /** Ends the request; only the first reason counts. */
    cancel(reason: CancelReason): void {
        if (this.reason === undefined) {
            this.reason = reason;
            this.cancelTimer();
            this.listeners.forEach(listener => listener(reason));
            this.listeners.clear();
        }
    }

    /** Stops the timer once the answer is complete. */
    close(): void {
        this.cancelTimer();
        this.listeners.clear();
    }

    /** Calls back at the end, at once if it has come; returns how to unsubscribe. */
    subscribe(listener: (reason: CancelReason) => void): () => void {
        if (this.reason !== undefined) {
            listener(this.reason);
            return () => undefined;
        }
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
