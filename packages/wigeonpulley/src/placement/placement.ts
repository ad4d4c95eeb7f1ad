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
    readonly onRelease: (outcome: ReleaseOutcome, reason: string, firstEventMs: number | undefined) => void;
}

/** A place that is held until `release` is called. */
export class Placement {
    private readonly startedAt: number;
    private isReleased = false;
    private isPrefillPending = true;
    private firstEventAt: number | undefined;

    private constructor(private readonly options: PlacementOptions) {
        this.startedAt = options.timers.now();
    }

    /** Creates a placement that begins now. */
    static create(options: PlacementOptions): Placement {
        return new Placement(options);
    }

    /** The instance. */
    get instance(): Instance {
        return this.options.instance;
    }

    /** Expected time from dispatch to the first event or answer, in milliseconds. */
    get predictedMs(): number {
        return this.options.predictedMs;
    }

    /** Notes that the endpoint began to answer. */
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

    /** Notes that a stream has made so many events until now. */
    recordEvents(count: number): void {
        if (this.firstEventAt !== undefined) {
            const { timers, loads, instance } = this.options;
            loads.getLatencyModel(instance).observeEvents(count - 1, timers.now() - this.firstEventAt);
        }
    }

    /** Notes that a whole answer of a plain service came. */
    recordResponse(): void {
        const { timers, loads, instance } = this.options;
        loads.getLatencyModel(instance).observeResponse(timers.now() - this.startedAt);
    }

    /** Gives the place back. */
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
