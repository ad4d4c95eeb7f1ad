/** In-memory store of model weights with a limited total download rate. */
import type { TimerService } from "wigeonpulley";

/** Weight store that serves loads one after another. */
export class SimulatedWeightStore {
    private busyUntil = 0;

    private constructor(private readonly timers: TimerService, private readonly bytesPerMs: number) {}

    /** Creates a store that serves `bytesPerMs` bytes per millisecond in total. */
    static create(timers: TimerService, bytesPerMs: number): SimulatedWeightStore {
        return new SimulatedWeightStore(timers, bytesPerMs);
    }

    /** Loads a number of bytes. Resolves when this load and all earlier ones are complete. */
    async load(bytes: number): Promise<void> {
        const now = this.timers.now();
        this.busyUntil = Math.max(now, this.busyUntil) + bytes / this.bytesPerMs;
        await this.timers.sleep(this.busyUntil - now);
    }
}
