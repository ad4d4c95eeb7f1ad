/** The platform's store of model weights, which hands them out at a limited rate. */
import type { TimerService } from "wigeonpulley";

/** A store with one queue: each load waits for those before it. */
export class WeightStoreModel {
    private busyUntil = 0;

    private constructor(private readonly timers: TimerService, private readonly bytesPerMs: number) {}

    /** Creates a store that hands out `bytesPerMs` bytes a millisecond in all. */
    static create(timers: TimerService, bytesPerMs: number): WeightStoreModel {
        return new WeightStoreModel(timers, bytesPerMs);
    }

    /** Resolves when that many bytes have been handed out. */
    async load(bytes: number): Promise<void> {
        const now = this.timers.now();
        this.busyUntil = Math.max(now, this.busyUntil) + bytes / this.bytesPerMs;
        await this.timers.sleep(this.busyUntil - now);
    }
}
