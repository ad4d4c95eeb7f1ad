/** The slot that one request holds on an instance. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { RequestOutcome } from "./instance-health.js";
import type { InstanceLoads } from "./instance-loads.js";
import type { InstanceRateLimits } from "./instance-rate-limits.js";

/**
 * How a request ended when its slot is released: "full" when the instance refused it as full, undefined when it tells
 * nothing about the instance.
 */
export type ReleaseOutcome = RequestOutcome | "full" | undefined;

/** Options of a placement. */
export interface PlacementOptions {
    readonly timers: TimerService;
    readonly loads: InstanceLoads;
    readonly rateLimits: InstanceRateLimits;
    readonly instance: Instance;
    /** Prompt tokens of this request that the instance has to prefill, and those pending there before them. */
    readonly uncachedTokens: number;
    readonly pendingPromptTokens: number;
    /** Expected time to the first event or response, in milliseconds. */
    readonly predictedMs: number;
    /** Called once when the slot is released, with the time to the first event or response, if one arrived. */
    readonly onRelease: (outcome: ReleaseOutcome, reason: string, firstEventMs: number | undefined) => void;
}

/** Holds a slot until `release` is called. */
export class Placement {
    private readonly startedAt: number;
    private isReleased = false;
    private isPrefillPending = true;
    private firstEventAt: number | undefined;

    private constructor(private readonly options: PlacementOptions) {
        this.startedAt = options.timers.now();
    }

    /** Creates a placement that starts now. */
    static create(options: PlacementOptions): Placement {
        return new Placement(options);
    }

    /** Instance whose slot is held. */
    get instance(): Instance {
        return this.options.instance;
    }

    /** Expected time from dispatch to the first event or response, in milliseconds. */
    get predictedMs(): number {
        return this.options.predictedMs;
    }

    /** Records the rate limit that the instance named in its response; undefined when it named none. */
    recordRateLimit(limitPerS: number | undefined): void {
        const { rateLimits, instance } = this.options;
        rateLimits.recordResponse(instance, limitPerS, this.startedAt);
    }

    /** Records that the first event of the response has arrived. */
    recordFirstEvent(): void {
        if (this.isPrefillPending) {
            const { timers, loads, instance, pendingPromptTokens, uncachedTokens } = this.options;
            this.finishPrefill();
            this.firstEventAt = timers.now();
            const elapsedMs = this.firstEventAt - this.startedAt;
            loads.getLatencyModel(instance).observeFirstEvent(
                pendingPromptTokens + uncachedTokens,
                elapsedMs,
            );
        }
    }

    /** Records how many events the stream has had so far. */
    recordEvents(count: number): void {
        if (this.firstEventAt !== undefined) {
            const { timers, loads, instance } = this.options;
            loads.getLatencyModel(instance).observeEvents(count - 1, timers.now() - this.firstEventAt);
        }
    }

    /** Records that the whole response of a plain service has arrived. */
    recordResponse(): void {
        const { timers, loads, instance } = this.options;
        loads.getLatencyModel(instance).observeResponse(timers.now() - this.startedAt);
    }

    /** Releases the slot; further calls have no effect. */
    release(outcome: ReleaseOutcome, reason: string): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.finishPrefill();
            const firstEventMs = this.firstEventAt === undefined
                ? undefined
                : this.firstEventAt - this.startedAt;
            this.options.onRelease(outcome, reason, firstEventMs);
        }
    }

    private finishPrefill(): void {
        if (this.isPrefillPending) {
            this.isPrefillPending = false;
            this.options.loads.finishPrefill(this.options.instance, this.options.uncachedTokens);
        }
    }
}
