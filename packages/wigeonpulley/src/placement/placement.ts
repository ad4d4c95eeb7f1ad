/** Where one request is sent, and the slot that it holds there. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { RequestOutcome } from "./instance-health.js";
import type { InstanceLoads } from "./instance-loads.js";
import type { InstanceRateLimits, NamedLimits } from "./instance-rate-limits.js";
import type { PaceObservation } from "./pace-observation.js";

/**
 * How a request ended when its slot is released: "full" when the instance refused it as full, undefined when it tells
 * nothing about the instance.
 */
export type ReleaseOutcome = RequestOutcome | "full" | undefined;

/** Holds a slot until `release` is called. */
export abstract class Placement {
    /** Instance that gets the request, or the VM that passes it on, at its address for requests of other VMs. */
    abstract get instance(): Instance;

    /** True when the request goes to another VM, which passes it on to an instance. */
    abstract get isPeer(): boolean;

    /** Expected time from dispatch to the first event or response, in milliseconds. */
    abstract get predictedMs(): number;

    /** Records the limits that the instance named in its response. */
    abstract recordLimits(limits: NamedLimits): void;

    /** Records that the first event of the response has arrived. */
    abstract recordFirstEvent(): void;

    /** Records how many events the stream has had so far. */
    abstract recordEvents(count: number): void;

    /** Records that the whole response of a plain service has arrived. */
    abstract recordResponse(): void;

    /** Records that the caller didn't read as fast as the response came. */
    abstract recordCallerWait(): void;

    /** Releases the slot; further calls have no effect. */
    abstract release(outcome: ReleaseOutcome, reason: string): void;
}

/** Options of a slot on an instance. */
export interface InstancePlacementOptions {
    readonly timers: TimerService;
    readonly loads: InstanceLoads;
    readonly rateLimits: InstanceRateLimits;
    readonly instance: Instance;
    /** Prompt tokens of this request that the instance has to prefill, and those pending there before them. */
    readonly uncachedTokens: number;
    readonly pendingPromptTokens: number;
    /** Expected time to the first event or response, in milliseconds. */
    readonly predictedMs: number;
    /** Observes the pace of the instance; undefined when nothing can be learned from the request. */
    readonly pace: PaceObservation | undefined;
    /** Called once when the slot is released, with the time to the first event or response, if one arrived. */
    readonly onRelease: (outcome: ReleaseOutcome, reason: string, firstEventMs: number | undefined) => void;
}

/** A slot on an instance. */
export class InstancePlacement extends Placement {
    private readonly startedAt: number;
    private isReleased = false;
    private isPrefillPending = true;
    private firstEventAt: number | undefined;

    private constructor(private readonly options: InstancePlacementOptions) {
        super();
        this.startedAt = options.timers.now();
    }

    /** Creates a placement that starts now. */
    static create(options: InstancePlacementOptions): InstancePlacement {
        return new InstancePlacement(options);
    }

    override get instance(): Instance {
        return this.options.instance;
    }

    override get isPeer(): boolean {
        return false;
    }

    override get predictedMs(): number {
        return this.options.predictedMs;
    }

    override recordLimits(limits: NamedLimits): void {
        const { rateLimits, instance } = this.options;
        rateLimits.recordResponse(instance, limits, this.startedAt);
    }

    override recordFirstEvent(): void {
        if (this.isPrefillPending) {
            const { timers, loads, instance, pendingPromptTokens, uncachedTokens } = this.options;
            this.finishPrefill();
            this.firstEventAt = timers.now();
            this.options.pace?.recordFirstEvent();
            const elapsedMs = this.firstEventAt - this.startedAt;
            loads.getLatencyModel(instance).observeFirstEvent(
                pendingPromptTokens + uncachedTokens,
                elapsedMs,
            );
        }
    }

    override recordEvents(count: number): void {
        if (this.firstEventAt !== undefined) {
            const { timers, loads, instance } = this.options;
            loads.getLatencyModel(instance).observeEvents(count - 1, timers.now() - this.firstEventAt);
            this.options.pace?.recordEvents(count - 1);
        }
    }

    override recordResponse(): void {
        const { timers, loads, instance } = this.options;
        loads.getLatencyModel(instance).observeResponse(timers.now() - this.startedAt);
        this.options.pace?.recordResponse();
    }

    override recordCallerWait(): void {
        this.options.pace?.recordCallerWait();
    }

    override release(outcome: ReleaseOutcome, reason: string): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.finishPrefill();
            this.options.pace?.finish(outcome === "success");
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
