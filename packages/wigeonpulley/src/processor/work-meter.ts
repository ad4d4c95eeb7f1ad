/** Adds up the time that a process spends on each kind of work. */
import type { TimerService } from "../time/index.js";

/** Kinds of work that are distinguished. */
export const WORK_KINDS = ["parsing", "placement", "relay", "gossip", "store", "logs", "garbage"] as const;

/** Kind of work. */
export type WorkKind = typeof WORK_KINDS[number];

/** Does some work, whose time a meter adds up if there is one. */
export const measureWork = <Value>(
    meter: WorkMeter | undefined,
    kind: WorkKind,
    work: () => Value,
): Value => meter === undefined ? work() : meter.measure(kind, work);

/** Meter of one process. */
export class WorkMeter {
    private readonly totalMs = new Map<WorkKind, number>();
    /** Time that was measured within the work that is being measured, in milliseconds. */
    private nestedMs = 0;

    private constructor(private readonly timers: TimerService) {}

    /** Creates a meter that has measured nothing. */
    static create(timers: TimerService): WorkMeter {
        return new WorkMeter(timers);
    }

    /** Does some work and adds the time that it takes, without that of other kinds which it calls. */
    measure<Value>(kind: WorkKind, work: () => Value): Value {
        const outerNestedMs = this.nestedMs;
        this.nestedMs = 0;
        const startedAt = this.timers.now();
        try {
            return work();
        }
        finally {
            const tookMs = this.timers.now() - startedAt;
            this.add(kind, tookMs - this.nestedMs);
            this.nestedMs = outerNestedMs + tookMs;
        }
    }

    /** Adds time that was measured elsewhere, in milliseconds. */
    add(kind: WorkKind, durationMs: number): void {
        this.totalMs.set(kind, this.getTotalMs(kind) + durationMs);
    }

    /** Time of one kind of work so far, in milliseconds. */
    getTotalMs(kind: WorkKind): number {
        return this.totalMs.get(kind) ?? 0;
    }
}
