/** In-memory plain service that counts its executions by idempotency key and by request. */
import type { ServiceResponse, TimerService } from "wigeonpulley";

/** Simulated plain service. */
export class SimulatedService {
    /** Executions by idempotency key; more than 1 is a duplicate execution. */
    readonly runsByKey = new Map<string, number>();
    /** Executions by request identifier. */
    readonly runsById = new Map<string, number>();

    private constructor(
        private readonly timers: TimerService,
        readonly name: string,
        private readonly durationMs: number,
    ) {}

    /** Creates a service that takes `durationMs` milliseconds for each request. */
    static create(timers: TimerService, name: string, durationMs = 20): SimulatedService {
        return new SimulatedService(timers, name, durationMs);
    }

    /** Executes a request. It counts as executed as soon as it arrives. */
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
