/** An instance given to one request. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { RequestOutcome } from "./instance-health.js";
import type { InstanceLoads } from "./instance-loads.js";

/** What a request tells of its instance when it gives the place back; undefined says nothing. */
export type ReleaseOutcome = RequestOutcome | "full" | undefined;

/** What a placement is built from. */
export interface PlacementOptions {
    readonly timers: TimerService;
    readonly loads: InstanceLoads;
    readonly instance: Instance;
    /** Tokens of this request's prompt that the instance has to read, and those that it has to read before. */
    readonly uncachedTokens: number;
    readonly pendingPromptTokens: number;
    /** Expected time to the first event or answer, in milliseconds. */
    readonly predictedMs: number;
    /** Called once when the place is free again, with the time to the first event or answer, if one came. */
    readonly onRelease: (evidence: ReleaseOutcome, reason: string, firstMs: number | undefined) => void;
}

/** A place that is held until `release` is called. */
export class Placement {
    private readonly startedAt: number;
    private isReleased = false;
    private isPending = true;
    private firstAt: number | undefined;

    private constructor(private readonly parts: PlacementOptions) {
        this.startedAt = parts.timers.now();
    }

    /** Creates a placement that begins now. */
    static create(parts: PlacementOptions): Placement {
        return new Placement(parts);
    }

    /** The instance. */
    get instance(): Instance {
        return this.parts.instance;
    }

    /** Expected time from dispatch to the first event or answer, in milliseconds. */
    get predictedMs(): number {
        return this.parts.predictedMs;
    }

    /** Notes that the endpoint began to answer. */
    recordFirstEvent(): void {
        if (this.isPending) {
            const { timers, loads, instance, pendingPromptTokens, uncachedTokens } = this.parts;
            this.endPrefill();
            this.firstAt = timers.now();
            const elapsedMs = this.firstAt - this.startedAt;
            loads.getLatencyModel(instance).observeFirstEvent(
                pendingPromptTokens + uncachedTokens,
                elapsedMs,
            );
        }
    }

    /** Notes that a stream has made so many events until now. */
    recordEvents(count: number): void {
        if (this.firstAt !== undefined) {
            const { timers, loads, instance } = this.parts;
            loads.getLatencyModel(instance).observeEvents(count - 1, timers.now() - this.firstAt);
        }
    }

    /** Notes that a whole answer of a plain service came. */
    recordResponse(): void {
        const { timers, loads, instance } = this.parts;
        loads.getLatencyModel(instance).observeResponse(timers.now() - this.startedAt);
    }

    /** Gives the place back. */
    release(evidence: ReleaseOutcome, reason: string): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.endPrefill();
            const firstMs = this.firstAt === undefined ? undefined : this.firstAt - this.startedAt;
            this.parts.onRelease(evidence, reason, firstMs);
        }
    }

    private endPrefill(): void {
        if (this.isPending) {
            this.isPending = false;
            this.parts.loads.finishPrefill(this.parts.instance, this.parts.uncachedTokens);
        }
    }
}
