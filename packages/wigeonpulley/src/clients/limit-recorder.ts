/** Counts what the limits on clients have ended, for the metrics and for at most one log line a second. */
import type { EventLogger } from "../logging/index.js";
import type { ClientLimit, MetricsRegistry } from "../metrics/index.js";
import type { TimerService } from "../time/index.js";
import type { ByteBudget } from "./byte-budget.js";

const LOG_INTERVAL_MS = 1_000;

/** Dependencies of a recorder. */
export interface LimitRecorderOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly budget: ByteBudget;
}

/** Recorder of one process. */
export class LimitRecorder {
    private counts = new Map<ClientLimit, number>();

    private constructor(private readonly options: LimitRecorderOptions) {}

    /** Creates a recorder that has counted nothing. */
    static create(options: LimitRecorderOptions): LimitRecorder {
        return new LimitRecorder(options);
    }

    /** Records that a limit has refused or ended something. The log line follows within a second, with all that came with it. */
    record(limit: ClientLimit): void {
        this.options.metrics.recordClientLimit(limit);
        if (this.counts.size === 0) {
            this.options.timers.schedule(LOG_INTERVAL_MS, () => this.flush());
        }
        this.counts.set(limit, (this.counts.get(limit) ?? 0) + 1);
    }

    private flush(): void {
        const { logger, budget } = this.options;
        const { counts } = this;
        this.counts = new Map();
        logger.write("ClientsLimited", {
            memory: counts.get("memory") ?? 0,
            slowUploads: counts.get("slow-upload") ?? 0,
            unread: counts.get("unread") ?? 0,
            connections: counts.get("connections") ?? 0,
            pipelined: counts.get("pipelined") ?? 0,
            heldBackTurns: counts.get("input") ?? 0,
            heldBytes: budget.totalBytes,
            budgetBytes: budget.limitBytes,
        });
    }
}
