/** A plain service in memory: it counts how often it ran each idempotency key. */
import type { ServiceResponse, TimerService } from "wigeonpulley";

/** One plain service. */
export class ServiceModel {
    /** Runs by idempotency key; more than 1 is a double run. */
    readonly runsByKey = new Map<string, number>();
    /** Runs by request identifier. */
    readonly runsById = new Map<string, number>();

    private constructor(
        private readonly timers: TimerService,
        readonly name: string,
        private readonly durationMs: number,
    ) {}

    /** Creates a service that takes `durationMs` milliseconds for each request. */
    static create(timers: TimerService, name: string, durationMs = 20): ServiceModel {
        return new ServiceModel(timers, name, durationMs);
    }

    /** Runs a request. The run counts from its arrival. */
    async run(id: string, key: string | undefined, path: string): Promise<ServiceResponse> {
        this.runsById.set(id, (this.runsById.get(id) ?? 0) + 1);
        const runs = key === undefined ? 0 : (this.runsByKey.get(key) ?? 0) + 1;
        if (key !== undefined) {
            this.runsByKey.set(key, runs);
        }
        await this.timers.sleep(this.durationMs);
        const body = JSON.stringify({ service: this.name, path, run: runs, receipt: `${this.name}-${id}` });
        return { status: 200, contentType: "application/json", body };
    }
}
